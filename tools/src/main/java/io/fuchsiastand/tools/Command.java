package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.List;

import io.fuchsiastand.config.Json;
import org.kohsuke.args4j.Option;

/** A subcommand. Its fields hold the options and arguments, which args4j sets; {@code run} executes it. */
abstract class Command {

    /** The format in which results are printed. */
    enum Output {
        /** Text for people. */
        TEXT,
        /** JSON for programs. */
        JSON
    }

    @Option(name = "--output", usage = "text or json")
    private Output output = Output.TEXT;

    @Option(name = "--json", usage = "the same as --output json")
    private boolean json;

    @Option(name = "--help", help = true, usage = "print this text")
    private boolean help;

    /**
     * Returns a description of the command for the usage text.
     *
     * @return the description, without line break
     */
    abstract String summary();

    /**
     * Returns objects with options that the command shares with others.
     *
     * @return the objects, whose fields args4j sets as those of the command
     */
    List<Object> optionGroups() {
        return List.of();
    }

    /**
     * Executes the command.
     *
     * @param out the stream to which results are printed
     * @throws io.fuchsiastand.error.FuchsiastandException if the command fails
     */
    abstract void run(PrintStream out);

    /**
     * Returns the exit code of the command after it has run.
     *
     * @return {@link Fuchsiactl#EXIT_OK}, unless the command found something that scripts must notice
     */
    int exitCode() {
        return Fuchsiactl.EXIT_OK;
    }

    final boolean isHelp() {
        return help;
    }

    /**
     * Prints a result in the format that the option {@code --output} or {@code --json} selects.
     *
     * @param out the stream to which the result is printed
     * @param value the object to print as JSON
     * @param text the text to print for people
     */
    final void print(PrintStream out, Object value, String text) {
        out.println(json || output == Output.JSON ? Json.writeIndented(value) : text);
    }
}
