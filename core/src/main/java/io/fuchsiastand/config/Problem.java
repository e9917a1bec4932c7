package io.fuchsiastand.config;

/**
 * A fault in a file that an operator wrote.
 *
 * @param file the name of the file
 * @param line the line, from 1, or 0 if the fault has no place
 * @param message what is wrong
 */
public record Problem(String file, int line, String message) {

    @Override
    public String toString() {
        return line == 0 ? file + ": " + message : file + ":" + line + ": " + message;
    }
}
