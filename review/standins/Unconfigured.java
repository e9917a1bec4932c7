import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stops (SIGTERM) daemons that have no configuration, because they started while the store was down, and counts the statuses
 * of proper requests that they receive meanwhile.
 */
final class Unconfigured {

    private static final int MACHINES = 3;
    private static final List<String> SERVICES = List.of("trays", "depot", "till");

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            StoreStandin store = new StoreStandin();
            store.put("config", "main", Configs.of(7, SERVICES));
            try (Fleet fleet = new Fleet(Path.of(args[0]), store.port(), record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                status = run(fleet, store, record, trouble);
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, StoreStandin store, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < MACHINES; i++) {
            fleet.start(fleet.add("sidecar-" + i, SERVICES.get(i), "amman-" + (char) ('a' + i)));
        }
        for (Fleet.Daemon d : fleet.daemons) {
            if (!fleet.awaitReady(d, 20_000)) {
                return 2;
            }
            new UpstreamStandin("i-" + d.host, d.service, d.control, 20, record);
        }
        UpstreamStandin.sleep(4000);
        Map<Integer, Integer> before = send(fleet, record, "before", 1000);
        if (before.getOrDefault(200, 0) < 10) {
            record.line("the fleet does not serve: " + before);
            return 2;
        }
        if (trouble) {
            store.setDown(true);
            record.line("the store is down");
        }
        for (Fleet.Daemon d : fleet.daemons) {
            fleet.kill(d);
        }
        UpstreamStandin.sleep(1000);
        for (Fleet.Daemon d : fleet.daemons) {
            fleet.start(d);
        }
        for (Fleet.Daemon d : fleet.daemons) {
            if (!fleet.awaitListening(d, 10_000)) {
                return 2;
            }
        }
        UpstreamStandin.sleep(1500);
        Map<Integer, Integer> waiting = send(fleet, record, "without SIGTERM", 1000);
        for (Fleet.Daemon d : fleet.daemons) {
            fleet.terminate(d);
        }
        Map<Integer, Integer> stopping = send(fleet, record, "after SIGTERM", 2000);
        for (Fleet.Daemon d : fleet.daemons) {
            d.process.waitFor();
        }
        store.setDown(false);
        String summary = "statuses before the kill " + before + ", after the restart " + waiting + ", after SIGTERM "
                + stopping + " (0: no connection or no answer)";
        record.line(summary);
        System.out.println(summary);
        int denied = 0;
        for (Map<Integer, Integer> m : List.of(waiting, stopping)) {
            denied += m.getOrDefault(401, 0) + m.getOrDefault(403, 0) + m.getOrDefault(404, 0);
        }
        return denied > 10 ? 1 : 0;
    }

    // Ten proper requests a second to each daemon, each on a new connection.
    private static Map<Integer, Integer> send(Fleet fleet, Record record, String phase, long millis) throws Exception {
        Map<Integer, Integer> out = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (Fleet.Daemon d : fleet.daemons) {
            clients.add(UpstreamStandin.thread(() -> {
                for (int i = 0; i < millis / 100; i++) {
                    String attempt = d.host + "-" + phase.replace(' ', '-') + "-" + i;
                    int status;
                    try {
                        status = Http.call(
                                        "127.0.0.1",
                                        d.callers,
                                        Configs.request(SERVICES.get(i % MACHINES), "safe", attempt, 2500),
                                        2500)
                                .status();
                    } catch (IOException e) {
                        status = 0;
                    }
                    record.line(phase + ": " + attempt + " at " + d.host + " answered " + status);
                    synchronized (out) {
                        out.merge(status, 1, Integer::sum);
                    }
                    UpstreamStandin.sleep(100);
                }
            }));
        }
        for (Thread t : clients) {
            t.join();
        }
        return out;
    }
}
