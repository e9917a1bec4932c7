import java.util.ArrayList;
import java.util.List;

/** Configurations as the operator writes them to config/main. */
final class Configs {

    static final String KEY = "6wsjnbanfqasnmgkcuyj";
    static final String TENANT = "pulo780";

    private Configs() {}

    /** A configuration with a safe route, /SERVICE/safe/, and an unsafe one, /SERVICE/unsafe/, for each service. */
    static String of(int version, List<String> services) {
        List<String> routes = new ArrayList<>();
        List<String> rows = new ArrayList<>();
        for (String s : services) {
            for (String kind : List.of("safe", "unsafe")) {
                routes.add("[\"r-" + s + "-" + kind + "\",\"" + s + ".example\",\"/" + s + "/" + kind + "/\",\"" + kind
                        + "\",1500,800,1,null,2,false,\"" + s + "\"]");
            }
            rows.add("[\"" + s + "\",\"/health\",330,\"h1\",false]");
        }
        return "{\"version\":\"" + String.format("%08x", version)
                + "\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"path_prefix\",\"kind\",\"timeout_ms\","
                + "\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"public\",\"service\"],\"rows\":["
                + String.join(",", routes)
                + "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],"
                + "\"rows\":[" + String.join(",", rows)
                + "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","
                + "\"burst\"],\"rows\":[[\"" + TENANT + "\",[\"" + KEY + "\"],1,0,0]]},\"base_revision\":\"00000000\"}";
    }

    /** A request for a route of {@link #of}. */
    static String request(String service, String kind, String attempt, int timeoutMillis) {
        String method = kind.equals("safe") ? "GET" : "POST";
        String body = kind.equals("safe") ? "" : "order " + attempt;
        return method + " /" + service + "/" + kind + "/2f HTTP/1.1\r\nHost: " + service + ".example\r\nX-Attempt-Id: "
                + attempt + "\r\nX-Timeout-Ms: " + timeoutMillis + "\r\nAuthorization: Bearer " + KEY + "\r\n"
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }
}
