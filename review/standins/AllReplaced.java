import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replaces the upstreams of a service with their machines, one after the other, and ends with a final fault: all processes are
 * killed. Compares the share of requests that are served before the fault and later than recovery_s after it.
 */
final class AllReplaced {

    private static final int MACHINES = 3;
    private static final String SERVICE = "trays";
    private static final long DRAIN_MILLIS = 2000;
    private static final long RECOVERY_MILLIS = 15_000;

    private final Record record;
    private final Fleet fleet;
    private final StoreStandin store;
    private final List<Fleet.Daemon> daemons = new ArrayList<>();
    private final List<UpstreamStandin> upstreams = new ArrayList<>();
    private final AtomicInteger number = new AtomicInteger();

    private AllReplaced(Record record, Fleet fleet, StoreStandin store) {
        this.record = record;
        this.fleet = fleet;
        this.store = store;
    }

    public static void main(String[] args) throws Exception {
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            StoreStandin store = new StoreStandin();
            store.put("config", "main", Configs.of(7, List.of(SERVICE)));
            try (Fleet fleet = new Fleet(Path.of(args[0]), store.port(), record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                status = new AllReplaced(record, fleet, store).run(!"0".equals(System.getenv("TROUBLE")));
            }
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        for (int i = 0; i < MACHINES; i++) {
            startMachine(i);
        }
        for (Fleet.Daemon d : daemons) {
            if (!fleet.awaitReady(d, 10_000)) {
                return 2;
            }
        }
        UpstreamStandin.sleep(13_000 - record.now());
        record.line("traffic begins");
        Map<Integer, Integer> first = send("at first", 3000);
        for (int i = 0; trouble && i < MACHINES; i++) {
            startMachine(MACHINES + i);
            if (!fleet.awaitReady(daemons.get(daemons.size() - 1), 10_000)) {
                return 2;
            }
            UpstreamStandin.sleep(2500);
            retire(0);
        }
        Map<Integer, Integer> before = send("before the final fault", 8000);
        if (4 * before.getOrDefault(200, 0) < total(before)) {
            record.line("less than a quarter was served before the final fault: " + before);
            return 2;
        }
        store.put("config", "main", Configs.of(8, List.of(SERVICE)));
        record.line("a configuration is acknowledged; the final fault: all processes are killed");
        for (Fleet.Daemon d : daemons) {
            d.process.destroyForcibly();
        }
        for (Fleet.Daemon d : daemons) {
            fleet.kill(d);
        }
        UpstreamStandin.sleep(500);
        for (Fleet.Daemon d : daemons) {
            fleet.start(d);
        }
        UpstreamStandin.sleep(RECOVERY_MILLIS);
        Map<Integer, Integer> after = send("later than recovery_s after the start", 12_000);
        String summary = "statuses at first " + first + ", before the final fault " + before
                + ", later than recovery_s after the machines are back " + after + " (0: no answer)";
        record.line(summary);
        System.out.println(summary);
        return 4 * after.getOrDefault(200, 0) < total(after) ? 1 : 0;
    }

    private void startMachine(int i) throws IOException {
        Fleet.Daemon d = fleet.add("sidecar-" + i, SERVICE, "amman-" + (char) ('a' + i % 3));
        fleet.start(d);
        daemons.add(d);
        upstreams.add(new UpstreamStandin("i-" + i, SERVICE, d.control, 50, record));
    }

    // The upstream drains, is acknowledged, serves on for drain_ms and a little longer, deregisters and exits; then its
    // daemon gets SIGTERM and does not come back.
    private void retire(int i) throws IOException, InterruptedException {
        UpstreamStandin u = upstreams.remove(i);
        Fleet.Daemon d = daemons.remove(i);
        record.line(u.id + " reports draining: " + u.drain());
        UpstreamStandin.sleep(DRAIN_MILLIS + 500);
        u.stopBeats();
        record.line(u.id + " deregisters: " + u.deregister());
        u.close();
        fleet.terminate(d);
        if (!d.process.waitFor(6, TimeUnit.SECONDS)) {
            fleet.kill(d);
        }
        record.line(d.host + " has left with its machine");
    }

    private Map<Integer, Integer> send(String phase, long millis) throws InterruptedException {
        Map<Integer, Integer> out = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < millis / 100; i++) {
            Fleet.Daemon d = daemons.get(i % daemons.size());
            String attempt = String.format("%016x", number.incrementAndGet());
            clients.add(UpstreamStandin.thread(() -> {
                int status;
                try {
                    status = Http.call(
                                    "127.0.0.1", d.callers, Configs.request(SERVICE, "safe", attempt, 2500), 3000)
                            .status();
                } catch (IOException e) {
                    status = 0;
                }
                record.line(phase + ": request " + attempt + " to " + d.host + " answered " + status);
                synchronized (out) {
                    out.merge(status, 1, Integer::sum);
                }
            }));
            UpstreamStandin.sleep(100);
        }
        for (Thread t : clients) {
            t.join();
        }
        return out;
    }

    private static int total(Map<Integer, Integer> statuses) {
        return statuses.values().stream().mapToInt(Integer::intValue).sum();
    }
}
