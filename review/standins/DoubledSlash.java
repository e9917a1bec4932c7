import java.nio.file.Path;
import java.util.List;

/**
 * Sends requests whose path has an empty segment. The longest path_prefix that begins such a path is that of the outer route,
 * which goes to one service; counts the requests that another service runs, to which only the inner route goes.
 */
final class DoubledSlash {

    private static final int REQUESTS = 20;

    // "/fudge/" goes to the service depot and is unsafe, "/fudge/stock/" goes to the service trays and is safe.
    private static final String CONFIGURATION = "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\",\"hostname\","
            + "\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\","
            + "\"public\",\"service\"],\"rows\":["
            + "[\"r-outer\",\"fudge.example\",\"/fudge/\",\"unsafe\",1500,800,1,null,2,false,\"depot\"],"
            + "[\"r-inner\",\"fudge.example\",\"/fudge/stock/\",\"safe\",1500,800,1,null,2,false,\"trays\"]]},"
            + "\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":["
            + "[\"trays\",\"/health\",330,\"h1\",false],[\"depot\",\"/health\",330,\"h1\",false]]},"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","
            + "\"burst\"],\"rows\":[[\"" + Configs.TENANT + "\",[\"" + Configs.KEY + "\"],1,0,0]]},"
            + "\"base_revision\":\"00000000\"}";

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            StoreStandin store = new StoreStandin();
            store.put("config", "main", CONFIGURATION);
            try (Fleet fleet = new Fleet(Path.of(args[0]), store.port(), record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
                status = run(fleet, record, trouble ? "/fudge//stock/2f" : "/fudge/2f");
            }
        }
        System.exit(status);
    }

    private static int run(Fleet fleet, Record record, String path) throws Exception {
        for (String service : List.of("trays", "depot")) {
            Fleet.Daemon d = fleet.add("sidecar-" + service, service, "amman-a");
            fleet.start(d);
            new UpstreamStandin("i-" + service, service, d.control, 20, record);
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
            String request = "POST " + path + " HTTP/1.1\r\nHost: fudge.example\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Timeout-Ms: 2500\r\nAuthorization: Bearer " + Configs.KEY + "\r\nContent-Length: 5\r\n\r\norder";
            Http.Message m = Http.call("127.0.0.1", fleet.daemons.get(i % 2).callers, request, 3000);
            served += m.status() == 200 ? 1 : 0;
            record.line("request " + attempt + " for " + path + " answered " + m.firstLine() + " "
                    + new String(m.body()).replaceAll("\\s+", " "));
            UpstreamStandin.sleep(100);
        }
        long wrong = record.runs.stream().filter(r -> r.upstream().equals("i-trays")).count();
        String summary = "of " + REQUESTS + " requests for " + path + " " + served + " were answered 200; the service trays, to"
                + " which no route allows them to go, ran " + wrong;
        record.line(summary);
        System.out.println(summary);
        return wrong > 0 ? 1 : served == 0 ? 2 : 0;
    }
}
