package io.fuchsiastand.standin;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The program {@code standin}, which runs a stand-in for the platform or for a backend server. */
public final class Standin {

    private static final int EXIT_USAGE = 2;

    /** The component that the program stands in for. */
    enum Role {
        /** The platform. */
        PLATFORM,
        /** A backend server. */
        BACKEND
    }

    @Argument(metaVar = "ROLE", usage = "platform or backend", required = true)
    private Role role;

    @Option(name = "--port", usage = "the port to listen on")
    private int port;

    @Option(name = "--id", usage = "the name of the backend server")
    private String id = "backend";

    @Option(name = "--service", usage = "the service of the backend server")
    private String service = "menu";

    @Option(name = "--admin", usage = "the admin port of the daemon on this host")
    private int adminPort;

    @Option(name = "--slots", usage = "the maximum number of concurrent calls of the backend server")
    private int slots = 3;

    @Option(name = "--delay-ms", usage = "the delay of each call in milliseconds")
    private long delayMillis;

    private Standin() {}

    /**
     * Runs the program.
     *
     * @param args the command line
     * @throws Exception if the stand-in cannot listen on its port
     */
    public static void main(String[] args) throws Exception {
        Standin s = new Standin();
        CmdLineParser parser = new CmdLineParser(s);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
        s.run();
    }

    private void run() throws Exception {
        if (role == Role.PLATFORM) {
            try (PlatformStandin p = new PlatformStandin("127.0.0.1", port, new MemoryObjectStore())) {
                p.await();
            }
            return;
        }
        try (BackendServerStandin b = new BackendServerStandin(id, service, port)) {
            b.setFaults(BackendFaults.slow(delayMillis));
            b.announce(adminPort, slots);
            b.await();
        }
    }
}
