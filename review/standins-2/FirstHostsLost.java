import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A fleet starts with three hosts, and three more are added. The first three are lost for good, one after the other. Later all
 * processes are killed and start again.
 */
public final class FirstHostsLost {

    private static final long RECOVERY_MILLIS = 15_000;
    private static final int REQUESTS = 60;

    private FirstHostsLost() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rig.open(Path.of(args[0]));
        Rig.Store store = new Rig.Store();
        store.put(
                "config",
                "main",
                Rig.configuration(
                        1,
                        List.of(Rig.route("r-1", "h.example", "/p/", "safe", 2000, false, "svc")),
                        List.of("svc"),
                        List.of("[\"team-1\",[\"key-1\"],1,0,0]")));
        List<Rig.Daemon> first = new ArrayList<>();
        List<Rig.Daemon> added = new ArrayList<>();
        List<Rig.Upstream> firstUpstreams = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            first.add(new Rig.Daemon("first-" + i, "zone-1", "svc", store));
            first.get(i).start();
            firstUpstreams.add(addUpstream("i-first-" + i, first.get(i)));
        }
        awaitReady(first);
        Rig.sleep(8_000);
        for (int i = 0; i < 3; i++) {
            added.add(new Rig.Daemon("added-" + i, "zone-1", "svc", store));
            added.get(i).start();
            addUpstream("i-added-" + i, added.get(i));
        }
        awaitReady(added);
        Rig.sleep(8_000);
        if (trouble) {
            for (int i = 0; i < 3; i++) {
                first.get(i).process.destroyForcibly();
                firstUpstreams.get(i).beats = false;
                firstUpstreams.get(i).server.close();
                Rig.log("host first-%d is lost for good", i);
                Rig.sleep(6_000);
            }
        }
        int before = served("before the final fault", added);
        Rig.log("final fault: all processes are killed");
        List<Rig.Daemon> left = new ArrayList<>(added);
        if (!trouble) {
            left.addAll(first);
        }
        for (Rig.Daemon d : left) {
            d.process.destroyForcibly();
        }
        for (Rig.Daemon d : left) {
            d.process.waitFor();
        }
        Rig.sleep(1_100);
        for (Rig.Daemon d : left) {
            d.start();
        }
        Rig.sleep(RECOVERY_MILLIS + 1_000);
        int after = served("later than recovery_s after it", added);
        if (before * 4 < REQUESTS) {
            Rig.end(2, "only " + before + " of " + REQUESTS + " requests were served before the final fault");
        }
        Rig.end(
                after * 4 < REQUESTS ? 1 : 0,
                "served " + before + " of " + REQUESTS + " before the final fault, " + after + " of " + REQUESTS
                        + " later than recovery_s after it");
    }

    private static Rig.Upstream addUpstream(String id, Rig.Daemon host) throws Exception {
        Rig.Upstream u = new Rig.Upstream(id, "svc", 4, (r, s, o) -> {
            Rig.log("request %s runs at %s", r.headers.get("X-Attempt-Id"), id);
            Rig.sleep(20);
            Rig.Upstream.answer(r, o, 200, "done");
        });
        u.announceTo(host);
        return u;
    }

    private static void awaitReady(List<Rig.Daemon> daemons) {
        for (Rig.Daemon d : daemons) {
            if (!d.awaitReady(30_000)) {
                Rig.end(2, d.name + " is not ready");
            }
        }
    }

    // Clients send on to the hosts that were added, and rest for as long as a refusal says.
    private static int served(String when, List<Rig.Daemon> daemons) {
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            int status = 0;
            String attempt = String.format("%016x", System.nanoTime());
            Rig.log("request %s is sent to %s", attempt, daemons.get(i % daemons.size()).name);
            try {
                Map<String, String> headers = Map.of(
                        "X-Attempt-Id",
                        attempt,
                        "X-Timeout-Ms",
                        "2000",
                        "Authorization",
                        "Bearer key-1");
                int port = daemons.get(i % daemons.size()).callers;
                status = Rig.call(port, "GET", "/p/x", "h.example", headers, null, 3_000).status;
            } catch (java.io.IOException e) {
                Rig.log("%s", e);
            }
            Rig.log("request %s is answered %d", attempt, status);
            statuses.merge(status, 1, Integer::sum);
            Rig.sleep(100);
        }
        Rig.log("%s: requests by status %s", when, statuses);
        return statuses.getOrDefault(200, 0);
    }
}
