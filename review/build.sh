#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of the review. Needs only the JDK that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java
