import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Starts daemons as the deploy file says, each as a process of its own, on ports of 127.0.0.1. */
final class Fleet implements AutoCloseable {

    /** A daemon: its ports, its settings file and its process. */
    static final class Daemon {
        final String host;
        final int callers = freePort();
        final int data = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int peer = freePort();
        final int admin = freePort();
        final String service;
        final String zone;
        volatile Process process;
        volatile long startedAt;

        Daemon(String host, String service, String zone) {
            this.host = host;
            this.service = service;
            this.zone = zone;
        }
    }

    private static final Set<Integer> USED = new HashSet<>();

    final List<Daemon> daemons = new ArrayList<>();
    private final Path folder;
    private final int storePort;
    private final Record record;

    Fleet(Path folder, int storePort, Record record) {
        this.folder = folder;
        this.storePort = storePort;
        this.record = record;
    }

    // Below the range from which the system picks the ports of outgoing connections, so that a daemon that restarts finds
    // its ports free.
    private static synchronized int freePort() {
        for (int port = 20_000 + (int) (ProcessHandle.current().pid() * 97 % 10_000); port < 32_000; port++) {
            if (USED.contains(port)) {
                continue;
            }
            try (ServerSocket s = new ServerSocket(port)) {
                USED.add(port);
                return port;
            } catch (IOException e) {
                // in use
            }
        }
        throw new IllegalStateException("no free port");
    }

    Daemon add(String host, String service, String zone) {
        Daemon d = new Daemon(host, service, zone);
        daemons.add(d);
        return d;
    }

    void start(Daemon d) throws IOException {
        String settings = Files.readString(Path.of("deploy/settings.toml"))
                .replace("{{node_name}}", d.host)
                .replace("{{zone}}", d.zone)
                .replace("{{ip}}", "127.0.0.1")
                .replace("{{service}}", d.service)
                .replace("{{listen_addrs.outbound}}", "127.0.0.1:" + d.callers)
                .replace("{{listen_addrs.inbound}}", "127.0.0.1:" + d.data)
                .replace("{{listen_addrs.ready}}", "127.0.0.1:" + d.ready)
                .replace("{{listen_addrs.control}}", "127.0.0.1:" + d.control)
                .replace("{{port_range.0}}", Integer.toString(d.peer))
                .replace("{{port_range.1}}", Integer.toString(d.admin))
                .replace("{{provider.address}}", "127.0.0.1:" + storePort)
                .replace("{{bounds.grace_s}}", "6")
                .replace("{{bounds.budget_ratio}}", "0.2")
                .replace("{{bounds.budget_window_s}}", "10")
                .replace("{{bounds.budget_slack}}", "56")
                .replace("{{bounds.quota_window_s}}", "5")
                .replace("{{bounds.quota_over}}", "0.1")
                .replace("{{bounds.quota_slack}}", "20");
        Path file = folder.resolve(d.host + ".toml");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>();
        for (String word : runLine().split(" ")) {
            command.add(word.equals("/etc/fuchsiastand/settings.json") ? file.toString() : word);
        }
        Path log = folder.resolve(d.host + ".log");
        d.process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        d.startedAt = record.now();
        record.line("start " + d.host);
    }

    private static String runLine() throws IOException {
        for (String l : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (l.startsWith("run = ")) {
                return l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("deploy/system.toml has no run line");
    }

    void kill(Daemon d) throws InterruptedException {
        d.process.destroyForcibly();
        d.process.waitFor();
        record.line("SIGKILL " + d.host);
    }

    /** Sends SIGTERM and does not wait. */
    void terminate(Daemon d) {
        d.process.destroy();
        record.line("SIGTERM " + d.host);
    }

    boolean isReady(Daemon d) {
        return answers(d) == 200;
    }

    int answers(Daemon d) {
        try {
            return Http.call(
                            "127.0.0.1",
                            d.ready,
                            "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
                            1000)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Waits until the server for callers accepts connections. */
    boolean awaitListening(Daemon d, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            try (Socket s = new Socket("127.0.0.1", d.callers)) {
                return true;
            } catch (IOException e) {
                UpstreamStandin.sleep(50);
            }
        }
        return false;
    }

    boolean awaitReady(Daemon d, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady(d)) {
                return true;
            }
            UpstreamStandin.sleep(100);
        }
        return false;
    }

    String log(Daemon d) throws IOException {
        return Files.readString(folder.resolve(d.host + ".log"));
    }

    @Override
    public void close() {
        for (Daemon d : daemons) {
            if (d.process != null) {
                d.process.destroyForcibly();
            }
        }
        for (Daemon d : daemons) {
            try {
                if (d.process != null) {
                    d.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
