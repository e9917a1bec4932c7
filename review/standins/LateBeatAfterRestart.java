import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * An upstream deregisters and is acknowledged; the daemon beside it is stopped and started again; then a heartbeat arrives that
 * the upstream had sent before it deregistered. Counts the requests that reach the upstream later than drain_ms after the
 * acknowledgement, taken and sent on by machines in touch.
 */
final class LateBeatAfterRestart {

    private static final long DRAIN_MILLIS = 2000;
    private static final long STABILITY = 3000;
    private static final long SERVES_MILLIS = 9000;
    private static final long BEAT_LATE_MILLIS = 3500;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            StoreStandin store = new StoreStandin();
            store.put("config", "main", Configs.of(7, List.of("trays")));
            try (Fleet fleet = new Fleet(Path.of(args[0]), store.port(), record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                status = run(fleet, record, trouble);
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            fleet.start(fleet.add("sidecar-" + i, "trays", "amman-a"));
        }
        for (Fleet.Daemon d : fleet.daemons) {
            if (!fleet.awaitReady(d, 20_000)) {
                return 2;
            }
        }
        UpstreamStandin.sleep(6000);
        UpstreamStandin[] upstreams = new UpstreamStandin[3];
        for (int i = 0; i < 3; i++) {
            upstreams[i] = new UpstreamStandin("i-" + i, "trays", fleet.daemons.get(i).control, 50, record);
        }
        UpstreamStandin.sleep(4000);
        Thread client = UpstreamStandin.thread(() -> sendRequests(fleet.daemons.get(1), record));
        UpstreamStandin.sleep(2000);

        UpstreamStandin leaving = upstreams[0];
        Fleet.Daemon own = fleet.daemons.get(0);
        leaving.stopBeats();
        long beatSent = record.now();
        String lateBeat = leaving.nextBeat("ready");
        int acknowledged = leaving.deregister();
        long acknowledgedAt = record.now();
        record.line("deregister of i-0 answered " + acknowledged);
        if (acknowledged != 200) {
            return 2;
        }
        // "A daemon may also be stopped and started again on its own, while the upstream next to it continues running."
        if (trouble) {
            fleet.terminate(own);
            if (!own.process.waitFor(6, java.util.concurrent.TimeUnit.SECONDS)) {
                fleet.kill(own);
            }
            fleet.start(own);
        }
        while (record.now() < beatSent + BEAT_LATE_MILLIS || !fleet.isReady(own)) {
            UpstreamStandin.sleep(50);
        }
        record.line("the heartbeat sent at " + beatSent + " arrives and is answered " + leaving.send("heartbeat", lateBeat));
        UpstreamStandin.sleep(Math.max(0, acknowledgedAt + SERVES_MILLIS - record.now()));
        leaving.close();
        record.line("i-0 exits");
        client.interrupt();

        long from = Math.max(acknowledgedAt + DRAIN_MILLIS, trouble ? own.startedAt + STABILITY : 0);
        long late = record.runs.stream()
                .filter(r -> r.upstream().equals("i-0") && r.at() > from)
                .count();
        String summary = "acknowledged at " + acknowledgedAt + "; requests that reached i-0 later than " + DRAIN_MILLIS
                + " ms after it, with its machine in touch: " + late;
        record.line(summary);
        System.out.println(summary);
        return late > 0 ? 1 : 0;
    }

    // Twenty requests a second to the daemon of another machine, which is undisturbed.
    private static void sendRequests(Fleet.Daemon d, Record record) {
        for (int n = 0; !Thread.interrupted() && n < 1000; n++) {
            String attempt = String.format("%016x", n);
            UpstreamStandin.thread(() -> {
                try {
                    int status = Http.call(
                                    "127.0.0.1", d.callers, Configs.request("trays", "unsafe", attempt, 2500), 3000)
                            .status();
                    record.line("request " + attempt + " to " + d.host + " answered " + status);
                } catch (IOException e) {
                    record.line("request " + attempt + " to " + d.host + " failed: " + e.getMessage());
                }
            });
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
