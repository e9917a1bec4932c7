import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Kills many daemons at the same moment and starts them again, several times, while clients send requests on all machines.
 * Counts the requests at machines in touch that stay without an answer half a second after their route's timeout.
 */
final class HangAfterKills {

    private static final int MACHINES = 24;
    private static final double SHARE = 0.55;
    private static final long DOWN_MILLIS = 2000;
    private static final int ROUTE_TIMEOUT = 1500;
    private static final int HALF_SECOND = 500;
    private static final int CLIENT_TIMEOUT = 3000;
    private static final long STABILITY = 3000;
    private static final long TROUBLE_END = 72_000;
    private static final List<String> SERVICES = List.of("trays", "depot", "catalogue", "till");

    /** A machine as the platform sees it. */
    private static final class Machine {
        final Fleet.Daemon daemon;
        volatile boolean up;
        volatile int misses;
        final List<Long> kills = new CopyOnWriteArrayList<>();

        Machine(Fleet.Daemon daemon) {
            this.daemon = daemon;
        }

        /** Whether it was in touch from a moment to another: neither killed nor started in that time or 3 s before. */
        boolean inTouch(long from, long to) {
            return from - daemon.startedAt >= STABILITY && kills.stream().allMatch(k -> k < from - STABILITY || k > to);
        }
    }

    private final Record record;
    private final Fleet fleet;
    private final List<Machine> machines = new ArrayList<>();
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger never = new AtomicInteger();
    private volatile boolean stopped;

    private HangAfterKills(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws Exception {
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            StoreStandin store = new StoreStandin();
            store.put("config", "main", Configs.of(7, SERVICES));
            try (Fleet fleet = new Fleet(Path.of(args[0]), store.port(), record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                status = new HangAfterKills(record, fleet).run(!"0".equals(System.getenv("TROUBLE")));
            }
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        for (int i = 0; i < MACHINES; i++) {
            Fleet.Daemon d = fleet.add("sidecar-" + i, SERVICES.get(i % 4), "amman-" + (char) ('a' + i % 3));
            machines.add(new Machine(d));
            fleet.start(d);
        }
        for (Machine m : machines) {
            if (!fleet.awaitReady(m.daemon, 30_000)) {
                record.line("not ready at the start: " + m.daemon.host);
                return 2;
            }
            m.up = true;
        }
        UpstreamStandin.sleep(6000);
        for (int i = 0; i < MACHINES; i++) {
            Fleet.Daemon d = machines.get(i).daemon;
            new UpstreamStandin("i-" + i, d.service, d.control, 20, record);
        }
        UpstreamStandin.sleep(4000);
        record.line("traffic begins");
        machines.forEach(m -> UpstreamStandin.thread(() -> pollReady(m)));
        machines.forEach(m -> UpstreamStandin.thread(() -> sendRequests(m)));
        while (record.now() < TROUBLE_END) {
            UpstreamStandin.sleep(3000);
            if (trouble) {
                killSome();
            }
        }
        record.line("calm");
        UpstreamStandin.sleep(10_000);
        stopped = true;
        UpstreamStandin.sleep(CLIENT_TIMEOUT);
        return result();
    }

    private void killSome() throws IOException, InterruptedException {
        // A machine that two questions found not ready is left alone, so that a daemon that hangs still does at the end.
        List<Machine> some = new ArrayList<>(machines.stream().filter(m -> m.up).toList());
        Collections.shuffle(some);
        some = some.subList(0, Math.min(some.size(), (int) (SHARE * MACHINES)));
        for (Machine m : some) {
            m.kills.add(record.now());
            m.daemon.process.destroyForcibly();
        }
        for (Machine m : some) {
            fleet.kill(m.daemon);
        }
        UpstreamStandin.sleep(DOWN_MILLIS);
        for (Machine m : some) {
            fleet.start(m.daemon);
        }
        UpstreamStandin.sleep(5000);
    }

    // GET /ready once a second; two misses take a machine out, a 200 brings it back.
    private void pollReady(Machine m) {
        while (true) {
            long start = record.now();
            int status = fleet.answers(m.daemon);
            m.misses = status == 200 ? 0 : m.misses + 1;
            if (m.up != (m.misses < 2)) {
                m.up = m.misses < 2;
                record.line("GET /ready of " + m.daemon.host + ": " + status + ", its clients "
                        + (m.up ? "get work" : "get no new work"));
            }
            UpstreamStandin.sleep(Math.max(0, 1000 - (record.now() - start)));
        }
    }

    // Four requests a second; also at a machine that is out, if fewer than half of its zone's daemons are in.
    private void sendRequests(Machine m) {
        UpstreamStandin.sleep(ThreadLocalRandom.current().nextInt(250));
        while (!stopped) {
            if (m.up || 2 * upInZone(m) < MACHINES / 3) {
                UpstreamStandin.thread(() -> sendRequest(m));
            }
            UpstreamStandin.sleep(250);
        }
    }

    private long upInZone(Machine m) {
        return machines.stream()
                .filter(x -> x.up && x.daemon.zone.equals(m.daemon.zone))
                .count();
    }

    private void sendRequest(Machine m) {
        int n = number.incrementAndGet();
        String attempt = String.format("%016x", n);
        long start = record.now();
        String result;
        boolean unanswered = false;
        try {
            Http.Message r = Http.call(
                    "127.0.0.1",
                    m.daemon.callers,
                    Configs.request(SERVICES.get(n % 4), "safe", attempt, CLIENT_TIMEOUT),
                    CLIENT_TIMEOUT);
            result = r.firstLine();
        } catch (SocketTimeoutException e) {
            result = "no answer";
            unanswered = true;
        } catch (IOException e) {
            result = "closed: " + e.getMessage();
        }
        long millis = record.now() - start;
        boolean counts = m.inTouch(start, start + ROUTE_TIMEOUT + HALF_SECOND);
        record.line("request " + attempt + " to " + m.daemon.host + " sent at " + start + (counts ? ", in touch, " : ", ")
                + result + " after " + millis + " ms");
        if (counts) {
            sent.incrementAndGet();
            answered.addAndGet(unanswered ? 0 : 1);
            late.addAndGet(millis > ROUTE_TIMEOUT ? 1 : 0);
            never.addAndGet(millis > ROUTE_TIMEOUT + HALF_SECOND ? 1 : 0);
        }
    }

    private int result() {
        List<String> hung = machines.parallelStream()
                .filter(m -> m.daemon.process.isAlive()
                        && fleet.answers(m.daemon) == 0
                        && fleet.answers(m.daemon) == 0)
                .map(m -> m.daemon.host + (m.kills.isEmpty() ? " (never killed)" : ""))
                .toList();
        String summary = "at machines in touch: sent " + sent + ", answered " + answered
                + ", unanswered at timeout_ms " + late + ", of these still half a second later " + never
                + "; daemons that run and answer nothing in calm: " + hung;
        record.line(summary);
        System.out.println(summary);
        boolean broken = never.get() >= 8 && 4 * never.get() > late.get();
        return broken && !hung.isEmpty() ? 1 : 0;
    }
}
