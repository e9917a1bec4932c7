import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few clients upload bodies to one daemon, each attempt on a new connection. In the calm after that, the operator adds a
 * route, and requests on it and on the first route are sent to that daemon.
 */
final class UploadsFillHeap {

    private static final int CLIENTS = 8;
    private static final int BYTES = 900_000;
    private static final long UPLOAD_MILLIS = 50_000;
    private static final int ROUTE_TIMEOUT = 1500;
    private static final int HALF_SECOND = 500;

    // Requests that had no final answer at timeout_ms, and those of them that had none half a second later.
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger NEVER = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            StoreStandin store = new StoreStandin();
            store.put("config", "main", Configs.of(7, List.of("depot")));
            try (Fleet fleet = new Fleet(Path.of(args[0]), store.port(), record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                status = run(fleet, store, record, trouble ? BYTES : 900);
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, StoreStandin store, Record record, int bytes) throws Exception {
        for (int i = 0; i < 3; i++) {
            Fleet.Daemon d = fleet.add("sidecar-" + i, "depot", "amman-a");
            fleet.start(d);
            new UpstreamStandin("i-" + i, "depot", d.control, 100, record);
        }
        for (Fleet.Daemon d : fleet.daemons) {
            if (!fleet.awaitReady(d, 20_000)) {
                return 2;
            }
        }
        UpstreamStandin.sleep(13_000 - record.now());
        Fleet.Daemon d = fleet.daemons.get(0);
        Map<String, Integer> uploads = new TreeMap<>();
        long end = record.now() + UPLOAD_MILLIS;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            String client = "c" + c;
            clients.add(UpstreamStandin.thread(() -> {
                for (int n = 0; record.now() < end; n++) {
                    String result = upload(d, client + "-" + n, bytes);
                    record.line("upload " + client + "-" + n + " of " + bytes + " bytes: " + result);
                    synchronized (uploads) {
                        uploads.merge(result, 1, Integer::sum);
                    }
                    UpstreamStandin.sleep(300);
                }
            }));
        }
        Map<String, Integer> small = new TreeMap<>();
        for (int n = 0; record.now() < end; n++) {
            String attempt = "small-" + n;
            clients.add(UpstreamStandin.thread(() -> {
                String result = ask(d, "depot", attempt);
                record.line("small request " + attempt + ": " + result);
                synchronized (small) {
                    small.merge(result, 1, Integer::sum);
                }
            }));
            UpstreamStandin.sleep(250);
        }
        for (Thread t : clients) {
            t.join();
        }
        record.line("small requests meanwhile were answered " + small);
        record.line("calm; the uploads were answered " + uploads);
        UpstreamStandin.sleep(16_000);
        store.put("config", "main", Configs.of(8, List.of("depot", "till")));
        record.line("version 8 is acknowledged; it adds the routes of the service till");
        UpstreamStandin.sleep(6000);
        Map<String, Integer> old = ask(d, "depot", record);
        Map<String, Integer> added = ask(d, "till", record);
        Map<String, Integer> elsewhere = ask(fleet.daemons.get(1), "till", record);
        String summary = "uploads " + uploads + ", small requests meanwhile " + small + "; in calm: first route " + old + ", added route " + added
                + ", added route at another daemon " + elsewhere + "; GET /ready " + fleet.answers(d)
                + "; in all, unanswered at timeout_ms " + LATE + ", of these still half a second later " + NEVER;
        record.line(summary);
        System.out.println(summary);
        boolean hangs = NEVER.get() >= 8 && 4 * NEVER.get() > LATE.get();
        return hangs || added.getOrDefault("404", 0) > 0 ? 1 : 0;
    }

    private static String count(long start, String result) {
        long millis = (System.nanoTime() - start) / 1_000_000;
        LATE.addAndGet(millis > ROUTE_TIMEOUT ? 1 : 0);
        NEVER.addAndGet(result.equals("no answer") && millis >= ROUTE_TIMEOUT + HALF_SECOND ? 1 : 0);
        return result;
    }

    // The body arrives in two halves, 200 ms apart.
    private static String upload(Fleet.Daemon d, String attempt, int bytes) {
        String head = "POST /depot/unsafe/2f HTTP/1.1\r\nHost: depot.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Timeout-Ms: 2500\r\nAuthorization: Bearer " + Configs.KEY + "\r\nContent-Length: " + bytes + "\r\n\r\n";
        long start = System.nanoTime();
        byte[] body = "z".repeat(bytes).getBytes(StandardCharsets.ISO_8859_1);
        try (Socket s = new Socket("127.0.0.1", d.callers)) {
            s.setSoTimeout(3000);
            OutputStream out = s.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, 0, bytes / 2);
            out.flush();
            UpstreamStandin.sleep(200);
            out.write(body, bytes / 2, bytes - bytes / 2);
            out.flush();
            Http.Message m = Http.read(s.getInputStream(), true);
            return count(start, m == null ? "closed" : Integer.toString(m.status()));
        } catch (SocketTimeoutException e) {
            return count(start, "no answer");
        } catch (IOException e) {
            return count(start, "closed");
        }
    }

    private static String ask(Fleet.Daemon d, String service, String attempt) {
        long start = System.nanoTime();
        try {
            String request = Configs.request(service, "safe", attempt, 2500);
            int status = Http.call("127.0.0.1", d.callers, request, ROUTE_TIMEOUT + HALF_SECOND).status();
            return count(start, Integer.toString(status));
        } catch (SocketTimeoutException e) {
            return count(start, "no answer");
        } catch (IOException e) {
            return count(start, "closed");
        }
    }

    private static Map<String, Integer> ask(Fleet.Daemon d, String service, Record record) throws InterruptedException {
        Map<String, Integer> out = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String attempt = "calm-" + d.host + "-" + service + "-" + i;
            clients.add(UpstreamStandin.thread(() -> {
                String result = ask(d, service, attempt);
                record.line(attempt + ": " + result);
                synchronized (out) {
                    out.merge(result, 1, Integer::sum);
                }
            }));
            UpstreamStandin.sleep(100);
        }
        for (Thread t : clients) {
            t.join();
        }
        return out;
    }
}
