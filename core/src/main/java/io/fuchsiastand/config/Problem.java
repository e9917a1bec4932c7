package io.fuchsiastand.config;

/**
 * A problem in a file that an operator wrote.
 *
 * @param file the name of the file
 * @param line the line number, starting at 1, or 0 if the line is unknown
 * @param message a description of the problem
 */
public record Problem(String file, int line, String message) {

    @Override
    public String toString() {
        return line == 0 ? file + ": " + message : file + ":" + line + ": " + message;
    }
}
