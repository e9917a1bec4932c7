package io.fuchsiastand.bench;

/** The program {@code bench}. */
public final class Bench {
    private Bench() {}

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(2);
    }
}
