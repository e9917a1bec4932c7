import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of the clients leave before their deadline: their connections are reset. Backend servers work on each request for
 * 1.2 s and stop at once when its connection closes.
 */
public final class ResetByClient {

    private static final double LEAVING_SHARE = 0.3;
    private static final long LEAVING_SPELL_MILLIS = 5_500;
    private static final long LEAVES_AFTER_MILLIS = 300;
    private static final long WORK_MILLIS = 1_200;
    private static final long GRACE_NANOS = 500_000_000;
    private static final int FEW = 5;

    private ResetByClient() {}

    /** One request: when its client left, when it reached a backend server, and when the work on it ended. */
    private static final class Course {
        volatile long left;
        volatile long arrived;
        volatile long ended;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean orderly = "orderly".equals(System.getenv("CLOSE"));
        Rig.open(Path.of(args[0]));
        Rig.Store store = new Rig.Store();
        store.put(
                "config",
                "main",
                Rig.configuration(
                        1, List.of(Rig.route("r-1", "h.example", "/p/", "safe", 6000, true, "svc")), List.of("svc"), List.of()));
        Map<String, Course> courses = new ConcurrentHashMap<>();
        List<Rig.Daemon> daemons = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int n = i;
            Rig.Daemon d = new Rig.Daemon("host-" + i, "zone-1", "svc", store);
            d.start();
            daemons.add(d);
            new Rig.Upstream("i-" + i, "svc", 3, (r, s, o) -> {
                String id = r.headers.get("X-Attempt-Id");
                Course c = courses.get(id);
                c.arrived = System.nanoTime();
                Rig.log("request %s reaches i-%d", id, n);
                boolean closed = isClosedWithin(s, WORK_MILLIS);
                c.ended = System.nanoTime();
                if (closed) {
                    Rig.log("request %s is dropped at i-%d: its connection closes", id, n);
                    throw new IOException("the connection of the request has closed");
                }
                Rig.log("request %s ends at i-%d", id, n);
                Rig.Upstream.answer(r, o, 200, "done");
            }).announceTo(d);
        }
        for (Rig.Daemon d : daemons) {
            if (!d.awaitReady(30_000)) {
                Rig.end(2, d.name + " is not ready");
            }
        }
        Rig.sleep(4_000);
        AtomicBoolean calling = new AtomicBoolean(true);
        AtomicBoolean leaving = new AtomicBoolean();
        AtomicInteger number = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < 18; k++) {
            int port = daemons.get(k % 3).callers;
            clients.add(Rig.thread(() -> {
                while (calling.get()) {
                    String id = String.format("%016x", number.incrementAndGet());
                    Course c = new Course();
                    courses.put(id, c);
                    Rig.log("request %s is sent", id);
                    boolean leaves = leaving.get() && ThreadLocalRandom.current().nextDouble() < LEAVING_SHARE;
                    try (Socket s = new Socket()) {
                        s.connect(new InetSocketAddress(Rig.LOOPBACK, port), 1_000);
                        s.setSoTimeout(7_000);
                        Map<String, String> headers = Map.of("X-Attempt-Id", id, "X-Timeout-Ms", "6000");
                        s.getOutputStream().write(Rig.head("GET", "/p/x", "h.example", headers, -1));
                        if (leaves) {
                            Rig.sleep(LEAVES_AFTER_MILLIS);
                            Rig.log("the client of request %s leaves", id);
                            s.setSoLinger(!orderly, 0);
                            s.close();
                            c.left = System.nanoTime();
                        } else {
                            int status = Rig.readAnswer(s.getInputStream(), false).status;
                            Rig.log("request %s is answered %d", id, status);
                            served.addAndGet(status == 200 ? 1 : 0);
                        }
                    } catch (IOException e) {
                        Rig.log("request %s: %s", id, e);
                    }
                    Rig.sleep(300);
                }
            }));
        }
        Rig.sleep(4_000);
        leaving.set(trouble);
        Rig.sleep(LEAVING_SPELL_MILLIS);
        leaving.set(false);
        Rig.sleep(4_000);
        calling.set(false);
        for (Thread t : clients) {
            t.join(8_000);
        }
        Rig.sleep(6_500);
        judge(courses, served.get());
    }

    // Waits for the end of the work, and returns true if the connection closes before.
    private static boolean isClosedWithin(Socket s, long millis) throws IOException {
        InputStream in = s.getInputStream();
        s.setSoTimeout((int) millis);
        try {
            in.read();
            return true;
        } catch (java.net.SocketTimeoutException e) {
            s.setSoTimeout(0);
            return false;
        }
    }

    private static void judge(Map<String, Course> courses, int served) {
        int left = 0;
        int late = 0;
        int wouldLast = 0;
        int atWork = 0;
        for (Course c : courses.values()) {
            if (c.left == 0) {
                continue;
            }
            left++;
            late += c.arrived > c.left + GRACE_NANOS ? 1 : 0;
            if (c.arrived > 0 && c.arrived + WORK_MILLIS * 1_000_000 > c.left + GRACE_NANOS) {
                wouldLast++;
                atWork += c.ended > c.left + GRACE_NANOS ? 1 : 0;
            }
        }
        Rig.log("requests %d, served %d, left by their clients %d", courses.size(), served, left);
        if (served == 0) {
            Rig.end(2, "no request was served");
        }
        Rig.end(
                late > FEW || atWork * 4 > wouldLast ? 1 : 0,
                late + " requests reached an upstream over 0.5 s after their client had left; of " + wouldLast
                        + " that would have lasted so long, upstreams were still at work on " + atWork);
    }
}
