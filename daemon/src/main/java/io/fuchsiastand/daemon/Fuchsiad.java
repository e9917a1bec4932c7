package io.fuchsiastand.daemon;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.tinylog.Logger;

/** The program {@code fuchsiad}, which runs a daemon until the process receives a signal to terminate. */
public final class Fuchsiad {

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILURE = 1;

    @Option(name = "--settings", metaVar = "FILE", usage = "the settings file, in TOML", required = true)
    private Path settingsFile;

    @Option(name = "--check", usage = "check the settings file and exit")
    private boolean check;

    @Option(
            name = "--rehearse",
            usage =
                    "run two daemons with the prepared requests and answers in this directory and exit, so that a build can"
                            + " record the loaded classes")
    private Path rehearsal;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private Fuchsiad() {}

    /**
     * Runs the program with {@link Deployment#DEFAULT}.
     *
     * @param args the command line arguments
     */
    public static void main(String[] args) {
        HangupHandler.install();
        run(Deployment.DEFAULT, args);
    }

    /**
     * Runs the program in a given environment. The caller has installed the {@link HangupHandler}.
     *
     * @param deployment the parts of the daemon that depend on the environment
     * @param args the command line arguments
     */
    public static void run(Deployment deployment, String[] args) {
        Fuchsiad program = new Fuchsiad();
        CmdLineParser parser = new CmdLineParser(program);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(ErrorCode.USAGE.code() + " " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
        if (program.help) {
            System.out.println("fuchsiad --settings FILE [--check | --rehearse DIRECTORY]");
            parser.printUsage(System.out);
            return;
        }
        try {
            program.run(deployment);
        } catch (FuchsiastandException e) {
            System.err.println(e.code().code() + " " + e.code().title() + ":\n" + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    // A running daemon keeps the settings with which it started. The file is checked now, so that an operator can
    // correct errors in it before the next start.
    private void checkChangedSettings(Settings inForce) {
        try {
            Settings next = Settings.read(settingsFile);
            Logger.info(
                    "the settings file was read again; it {}",
                    next.equals(inForce) ? "is unchanged" : "has changed and takes effect at the next start");
        } catch (FuchsiastandException e) {
            Logger.error(
                    "{} the settings file is invalid; the daemon keeps the settings with which it started: {}",
                    e.code().code(),
                    e.getMessage());
        }
    }

    private void run(Deployment deployment) {
        Settings s = Settings.read(settingsFile);
        HangupHandler.setAction(() -> checkChangedSettings(s));
        if (check) {
            System.out.println("the settings are valid");
            return;
        }
        if (s.tls().isEmpty()) {
            Logger.warn("insecure = true: traffic between daemons is neither encrypted nor authenticated");
        }
        if (rehearsal != null) {
            rehearse(s, deployment);
        }
        Daemon daemon = new Daemon(s, deployment);
        CountDownLatch closed = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.drain();
                            daemon.close();
                            closed.countDown();
                        },
                        "shutdown"));
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void rehearse(Settings s, Deployment deployment) {
        try {
            System.exit(new Rehearsal(deployment, rehearsal).run(s) > 0 ? 0 : EXIT_FAILURE);
        } catch (Exception e) {
            Logger.error(e, "the rehearsal failed");
            System.exit(EXIT_FAILURE);
        }
    }
}
