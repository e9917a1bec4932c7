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

/**
 * A few clients upload bodies to one daemon, each attempt on a new connection. In the calm after that, the operator adds a
 * route, and requests on it and on the first route are sent to that daemon.
 */
final class UploadsFillHeap {

    private static final int CLIENTS = 4;
    private static final int BYTES = 900_000;
    private static final long UPLOAD_MILLIS = 45_000;
    private static final int ROUTE_TIMEOUT = 1500;
    private static final int HALF_SECOND = 500;

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
        for (Thread t : clients) {
            t.join();
        }
        record.line("calm; the uploads were answered " + uploads);
        UpstreamStandin.sleep(16_000);
        store.put("config", "main", Configs.of(8, List.of("depot", "till")));
        record.line("version 8 is acknowledged; it adds the routes of the service till");
        UpstreamStandin.sleep(6000);
        Map<String, Integer> old = ask(d, "depot", record);
        Map<String, Integer> added = ask(d, "till", record);
        Map<String, Integer> elsewhere = ask(fleet.daemons.get(1), "till", record);
        String summary = "uploads " + uploads + "; in calm: first route " + old + ", added route " + added
                + ", added route at another daemon " + elsewhere + "; GET /ready " + fleet.answers(d);
        record.line(summary);
        System.out.println(summary);
        int unanswered = old.getOrDefault("no answer", 0) + added.getOrDefault("no answer", 0);
        int stale = added.getOrDefault("404", 0);
        return unanswered >= 8 || stale > 0 ? 1 : 0;
    }

    // The body arrives in two halves, 200 ms apart.
    private static String upload(Fleet.Daemon d, String attempt, int bytes) {
        String head = "POST /depot/unsafe/2f HTTP/1.1\r\nHost: depot.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Timeout-Ms: 2500\r\nAuthorization: Bearer " + Configs.KEY + "\r\nContent-Length: " + bytes + "\r\n\r\n";
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
            return m == null ? "closed" : Integer.toString(m.status());
        } catch (SocketTimeoutException e) {
            return "no answer";
        } catch (IOException e) {
            return "closed";
        }
    }

    private static Map<String, Integer> ask(Fleet.Daemon d, String service, Record record) throws InterruptedException {
        Map<String, Integer> out = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String attempt = "calm-" + d.host + "-" + service + "-" + i;
            clients.add(UpstreamStandin.thread(() -> {
                String result;
                try {
                    result = Integer.toString(Http.call(
                                    "127.0.0.1", d.callers, Configs.request(service, "safe", attempt, 2500),
                                    ROUTE_TIMEOUT + HALF_SECOND)
                            .status());
                } catch (SocketTimeoutException e) {
                    result = "no answer";
                } catch (IOException e) {
                    result = "closed";
                }
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
