package io.fuchsiastand.tools;

import java.io.PrintStream;

/** Prints the version of the program. */
final class VersionCommand extends Command {

    @Override
    String summary() {
        return "print the version of this program";
    }

    @Override
    void run(PrintStream out) {
        String v = Fuchsiactl.class.getPackage().getImplementationVersion();
        print(out, v == null ? "development" : v, "fuchsiactl " + (v == null ? "development" : v));
    }
}
