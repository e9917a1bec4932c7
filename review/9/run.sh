#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the resets.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -d target/review-2 ] || { echo "run review/build-2.sh first"; exit 2; }
timeout 115 java -cp target/review-2 ResetByClient "$here/record.txt"
code=$?
[ $code -le 1 ] || exit 2
exit $code
