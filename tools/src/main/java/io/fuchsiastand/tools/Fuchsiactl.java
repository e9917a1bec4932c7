package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.KeyEntry;
import org.kohsuke.args4j.ClassParser;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The program {@code fuchsiactl}: parses the command line and executes the class of the subcommand. */
public final class Fuchsiactl {

    /** Exit code of a command that succeeded. */
    public static final int EXIT_OK = 0;
    /** Exit code of a command that failed for another reason than those below. */
    public static final int EXIT_FAILURE = 1;
    /** Exit code if the command line is invalid. */
    public static final int EXIT_USAGE = 2;
    /** Exit code of {@code check --strict} if there are warnings. */
    public static final int EXIT_WARNINGS = 2;
    /** Exit code if a stored object has another version than expected, such as after a change by another operator. */
    public static final int EXIT_CONFLICT = 3;
    /**
     * Exit code if a daemon does not respond with status 200, or if the platform does not respond or responds with a server
     * error.
     */
    public static final int EXIT_UNAVAILABLE = 4;

    private static final Map<String, Supplier<Command>> COMMANDS = new TreeMap<>(Map.ofEntries(
            Map.entry("validate", ValidateCommand::new),
            Map.entry("check", CheckCommand::new),
            Map.entry("apply", ApplyCommand::new),
            Map.entry("diff", DiffCommand::new),
            Map.entry("get", GetCommand::new),
            Map.entry("key-give", KeyGiveCommand::new),
            Map.entry("key-withdraw", KeyWithdrawCommand::new),
            Map.entry("key-list", KeyListCommand::new),
            Map.entry("host-gone", HostGoneCommand::new),
            Map.entry("status", StatusCommand::new),
            Map.entry("explain", ExplainCommand::new),
            Map.entry("version", VersionCommand::new)));

    private Fuchsiactl() {}

    /**
     * Runs the program.
     *
     * @param args the subcommand and its options
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /**
     * Runs a subcommand.
     *
     * @param args the subcommand and its options
     * @param out the stream to which results are printed
     * @param err the stream to which errors are printed
     * @return the exit code
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        String name = args.length == 0 ? "--help" : args[0];
        // "key give" and "host gone" are easier to read than "key-give" and "host-gone"; both forms are accepted.
        boolean hasTwoWords = (name.equals("key") || name.equals("host")) && args.length > 1;
        if (hasTwoWords) {
            name = name + '-' + args[1];
        }
        Supplier<Command> constructor = COMMANDS.get(name);
        if (constructor == null) {
            boolean help = name.equals("--help");
            printUsage(help ? out : err, help ? "" : ErrorCode.USAGE.code() + " no such command: " + name);
            return help ? EXIT_OK : EXIT_USAGE;
        }
        Command command = constructor.get();
        CmdLineParser parser = new KeyIdAwareParser(command);
        command.optionGroups().forEach(g -> new ClassParser().parse(g, parser));
        try {
            parser.parseArgument(Arrays.copyOfRange(args, hasTwoWords ? 2 : 1, args.length));
        } catch (CmdLineException e) {
            err.println(ErrorCode.USAGE.code() + " " + e.getMessage());
            parser.printUsage(err);
            return EXIT_USAGE;
        }
        if (command.isHelp()) {
            out.println("fuchsiactl " + name + ": " + command.summary());
            parser.printUsage(out);
            return EXIT_OK;
        }
        return execute(command, out, err);
    }

    /** Takes a word that has the length of a key ID and is not the name of an option as an argument, even if it begins with "-". */
    private static final class KeyIdAwareParser extends CmdLineParser {

        private KeyIdAwareParser(Command command) {
            super(command);
        }

        @Override
        protected boolean isOption(String word) {
            boolean mayBeKeyId = word.length() == KeyEntry.ID_LENGTH
                    && getOptions().stream().noneMatch(o -> o.option.toString().equals(word));
            return super.isOption(word) && !mayBeKeyId;
        }
    }

    private static int execute(Command command, PrintStream out, PrintStream err) {
        try {
            command.run(out);
            return command.exitCode();
        } catch (FuchsiastandException e) {
            err.println(e.code().code() + " " + e.code().title() + ":\n" + e.getMessage());
            return switch (e.code()) {
                case CONFLICT -> EXIT_CONFLICT;
                case PLATFORM_UNAVAILABLE -> EXIT_UNAVAILABLE;
                case USAGE -> EXIT_USAGE;
                default -> EXIT_FAILURE;
            };
        }
    }

    private static void printUsage(PrintStream to, String message) {
        if (!message.isEmpty()) {
            to.println(message);
        }
        to.println("fuchsiactl COMMAND [OPTIONS]; COMMAND --help lists its options");
        COMMANDS.forEach(
                (n, c) -> to.printf("  %-13s %s%n", n.replace('-', ' '), c.get().summary()));
    }
}
