import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of seven backend servers fails a part of its requests: it runs them and then answers 503, without
 * {@code X-Not-Executed}. Its health check stays good. Clients send orders on an unsafe route, and repeat an order only after
 * a status that promises that it has not run.
 */
public final class FailsWith503 {

    private static final double FAILED_SHARE = 0.4;
    private static final int MAX_TRIES = 3;
    private static final int HOSTS = 7;
    private static final long FAILING_MILLIS = 6_500;

    private FailsWith503() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rig.open(Path.of(args[0]));
        Rig.Store store = new Rig.Store();
        store.put(
                "config",
                "main",
                Rig.configuration(
                        1,
                        List.of(Rig.route("r-1", "h.example", "/orders/", "unsafe", 1500, true, "orders")),
                        List.of("orders"),
                        List.of()));
        Map<String, Integer> runsByAttempt = new ConcurrentHashMap<>();
        Map<String, Integer> runsByOrder = new ConcurrentHashMap<>();
        AtomicBoolean grey = new AtomicBoolean();
        List<Rig.Daemon> daemons = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            int n = i;
            Rig.Daemon d = new Rig.Daemon("host-" + i, "zone-1", "orders", store);
            d.start();
            daemons.add(d);
            Rig.Upstream u = new Rig.Upstream("i-" + i, "orders", 3, (r, s, o) -> {
                String attempt = r.headers.get("X-Attempt-Id");
                if (r.target.equals("/health")) {
                    Rig.Upstream.answer(r, o, 200, "good");
                    return;
                }
                String order = r.target.substring(r.target.lastIndexOf('/') + 1);
                runsByAttempt.merge(attempt, 1, Integer::sum);
                runsByOrder.merge(order, 1, Integer::sum);
                Rig.sleep(100);
                boolean fails = n == 0 && grey.get() && ThreadLocalRandom.current().nextDouble() < FAILED_SHARE;
                Rig.log("i-%d has run attempt %s of order %s and answers %d", n, attempt, order, fails ? 503 : 200);
                Rig.Upstream.answer(r, o, fails ? 503 : 200, fails ? "failed" : "done");
            });
            u.announceTo(d);
        }
        for (Rig.Daemon d : daemons) {
            if (!d.awaitReady(30_000)) {
                Rig.end(2, d.name + " is not ready");
            }
        }
        Rig.sleep(4_000);
        grey.set(trouble);
        Rig.log("i-0 %s", trouble ? "fails part of its requests from now on" : "stays sound");
        AtomicBoolean calling = new AtomicBoolean(true);
        AtomicLong number = new AtomicLong();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < 12; k++) {
            int port = daemons.get(k % HOSTS).callers;
            clients.add(Rig.thread(() -> {
                while (calling.get()) {
                    String order = "o" + number.incrementAndGet();
                    for (int i = 0; i < MAX_TRIES; i++) {
                        String attempt = String.format("%016x", number.incrementAndGet());
                        Rig.log("attempt %s of order %s is sent", attempt, order);
                        int status = send(port, order, attempt);
                        Rig.log("attempt %s of order %s gets %d", attempt, order, status);
                        boolean promise = status == 503 || status == 429 || status == 408 || status == 421;
                        if (promise && runsByAttempt.containsKey(attempt)) {
                            broken.incrementAndGet();
                            Rig.log("BROKEN attempt %s of order %s got %d and has run", attempt, order, status);
                        }
                        if (status == 200) {
                            served.incrementAndGet();
                        }
                        if (!promise) {
                            break;
                        }
                        Rig.sleep(200);
                    }
                    Rig.sleep(100);
                }
            }));
        }
        Rig.sleep(FAILING_MILLIS);
        grey.set(false);
        Rig.log("i-0 is sound again");
        Rig.sleep(3_500);
        calling.set(false);
        for (Thread t : clients) {
            t.join(5_000);
        }
        long twice = runsByOrder.values().stream().filter(n -> n > 1).count();
        Rig.log("orders served %d, orders that ran more than once %d", served.get(), twice);
        if (served.get() == 0) {
            Rig.end(2, "no order was served");
        }
        Rig.end(
                broken.get() > 0 ? 1 : 0,
                broken.get() + " unsafe requests got a status that promises that they have not run, and had run; " + twice
                        + " orders ran twice, as their clients relied on it");
    }

    private static int send(int port, String order, String attempt) {
        try {
            Map<String, String> headers = Map.of("X-Attempt-Id", attempt, "X-Timeout-Ms", "1500");
            return Rig.call(port, "POST", "/orders/" + order, "h.example", headers, "order".getBytes(), 3_000).status;
        } catch (Exception e) {
            return 0;
        }
    }
}
