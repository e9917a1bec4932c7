import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server deregisters, which its daemon acknowledges, and serves on for some seconds. All daemons are killed and
 * start again. A heartbeat that the backend server sent before it deregistered arrives late.
 */
public final class LateHeartbeat {

    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABILITY_MILLIS = 3_000;
    private static final long HEARTBEAT_DELAY_MILLIS = 4_000;
    private static final long SERVES_ON_MILLIS = 10_000;

    private LateHeartbeat() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rig.open(Path.of(args[0]));
        Rig.Store store = new Rig.Store();
        store.put(
                "config",
                "main",
                Rig.configuration(
                        1, List.of(Rig.route("r-1", "h.example", "/p/", "safe", 3000, true, "svc")), List.of("svc"), List.of()));
        List<Rig.Daemon> daemons = new ArrayList<>();
        List<Rig.Upstream> upstreams = new ArrayList<>();
        List<long[]> arrivals = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 3; i++) {
            int n = i;
            Rig.Daemon d = new Rig.Daemon("host-" + i, "zone-1", "svc", store);
            d.start();
            daemons.add(d);
            Rig.Upstream u = new Rig.Upstream("i-" + i, "svc", 3, (r, s, o) -> {
                if (n == 0) {
                    arrivals.add(new long[] {System.nanoTime()});
                }
                Rig.log("request %s runs at i-%d", r.headers.get("X-Attempt-Id"), n);
                Rig.sleep(20);
                Rig.Upstream.answer(r, o, 200, "by i-" + n);
            });
            u.announceTo(d);
            upstreams.add(u);
        }
        for (Rig.Daemon d : daemons) {
            if (!d.awaitReady(30_000)) {
                Rig.end(2, d.name + " is not ready");
            }
        }
        AtomicBoolean calling = new AtomicBoolean(true);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        for (int k = 0; k < 4; k++) {
            int port = daemons.get(1 + k % 2).callers;
            Rig.thread(() -> {
                while (calling.get()) {
                    String id = String.format("%016x", sent.incrementAndGet());
                    Rig.log("request %s is sent", id);
                    try {
                        Rig.Answer a = Rig.call(
                                port, "GET", "/p/x", "h.example", Map.of("X-Attempt-Id", id, "X-Timeout-Ms", "2000"), null, 3000);
                        Rig.log("request %s is answered %d", id, a.status);
                        if (a.status == 200) {
                            served.incrementAndGet();
                        }
                    } catch (Exception e) {
                        Rig.log("request %s is not answered: %s", id, e);
                    }
                    Rig.sleep(50);
                }
            });
        }
        Rig.sleep(6_000);
        if (arrivals.isEmpty()) {
            Rig.end(2, "i-0 gets no requests before it leaves");
        }
        Rig.Upstream leaving = upstreams.get(0);
        Rig.Daemon own = daemons.get(0);
        leaving.beats = false;
        byte[] late = leaving.nextBeat();
        Rig.log("i-0 sends a heartbeat, which will be late");
        int status = leaving.deregister(own);
        long acknowledged = System.nanoTime();
        Rig.log("i-0 deregisters; host-0 answers %d; i-0 serves on for %d ms", status, SERVES_ON_MILLIS);
        if (status != 200) {
            Rig.end(2, "the deregistration was not acknowledged");
        }
        if (trouble) {
            Rig.sleep(500);
            for (Rig.Daemon d : daemons) {
                d.process.destroyForcibly();
                Rig.log("%s is killed", d.name);
            }
            for (Rig.Daemon d : daemons) {
                d.process.waitFor();
            }
            Rig.sleep(500);
            for (Rig.Daemon d : daemons) {
                d.start();
            }
        }
        long started = System.nanoTime();
        sleepUntil(acknowledged + HEARTBEAT_DELAY_MILLIS * 1_000_000);
        Rig.log("the late heartbeat arrives; host-0 answers %d", leaving.send(own, late));
        sleepUntil(acknowledged + SERVES_ON_MILLIS * 1_000_000);
        leaving.server.close();
        calling.set(false);
        Rig.log("i-0 ends");
        Rig.sleep(300);
        long from = Math.max(
                acknowledged + DRAIN_MILLIS * 1_000_000, trouble ? started + (STABILITY_MILLIS + 1_000) * 1_000_000 : 0);
        long tooLate = arrivals.stream().filter(a -> a[0] > from).count();
        Rig.log("calls %d, served %d", sent.get(), served.get());
        Rig.end(
                tooLate > 0 ? 1 : 0,
                tooLate + " requests reached i-0 later than " + DRAIN_MILLIS
                        + " ms after the acknowledgement, from machines in touch");
    }

    private static void sleepUntil(long nanos) {
        Rig.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
    }
}
