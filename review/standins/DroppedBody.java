import java.nio.file.Path;
import java.util.List;

/** Sends chunked bodies, with Transfer-Encoding named in Connection, and counts the bodies that upstreams do not get. */
final class DroppedBody {

    private static final int REQUESTS = 20;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            StoreStandin store = new StoreStandin();
            store.put("config", "main", Configs.of(7, List.of("depot")));
            try (Fleet fleet = new Fleet(Path.of(args[0]), store.port(), record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                status = run(fleet, record, trouble ? "Connection: Transfer-Encoding\r\n" : "");
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, Record record, String field) throws Exception {
        for (int i = 0; i < 2; i++) {
            Fleet.Daemon d = fleet.add("sidecar-" + i, "depot", "amman-a");
            fleet.start(d);
            new UpstreamStandin("i-" + i, "depot", d.control, 20, record);
        }
        for (Fleet.Daemon d : fleet.daemons) {
            if (!fleet.awaitReady(d, 20_000)) {
                return 2;
            }
        }
        UpstreamStandin.sleep(13_000 - record.now());
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String attempt = String.format("%016x", i);
            String request = "POST /depot/unsafe/2f HTTP/1.1\r\nHost: depot.example\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Timeout-Ms: 2500\r\nAuthorization: Bearer " + Configs.KEY + "\r\n" + field
                    + "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n";
            Http.Message m = Http.call("127.0.0.1", fleet.daemons.get(i % 2).callers, request, 3000);
            served += m.status() == 200 ? 1 : 0;
            record.line("request " + attempt + " with 5 bytes answered " + m.firstLine());
            UpstreamStandin.sleep(100);
        }
        long changed = record.runs.stream().filter(r -> r.request().body().length != 5).count();
        String summary = "of " + REQUESTS + " requests " + served + " were answered 200; upstreams ran " + changed
                + " with another body than the client's";
        record.line(summary);
        System.out.println(summary);
        return changed > 0 ? 1 : served == 0 ? 2 : 0;
    }
}
