import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Small stand-ins of the users' platform: store, backend servers, callers, and daemons as separate processes. */
final class Rig {

    static final long START = System.nanoTime();
    static final String LOOPBACK = "127.0.0.1";
    static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    static final List<Daemon> DAEMONS = new CopyOnWriteArrayList<>();
    private static final Set<Integer> USED_PORTS = new HashSet<>();
    private static PrintStream record = System.out;
    static Path folder;

    private Rig() {}

    static void open(Path recordFile) throws IOException {
        record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
        folder = Files.createTempDirectory("rig");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
    }

    static void log(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - START) / 1e9)
                + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.println(line);
        }
    }

    /** Ends all processes, writes the result and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void end(int code, String text) {
        log("RESULT %d: %s", code, text);
        System.out.println(code + " " + text);
        PROCESSES.forEach(Process::destroyForcibly);
        for (Process p : PROCESSES) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            for (Daemon d : DAEMONS) {
                d.out.toFile().delete();
                d.settings.toFile().delete();
            }
            folder.toFile().delete();
        } else {
            System.out.println("logs: " + folder);
        }
        Runtime.getRuntime().halt(code);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Below the range from which outgoing connections take their ports, so that none of them takes one meanwhile.
    static synchronized int freePort() {
        for (int i = 0; i < 1_000; i++) {
            int port = 15_000 + ThreadLocalRandom.current().nextInt(16_000);
            try (ServerSocket s = new ServerSocket(port, 1)) {
                if (USED_PORTS.add(s.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // The port is in use.
            }
        }
        throw new IllegalStateException("no free port");
    }

    /** The platform's store, as far as the daemons use it. */
    static final class Store {
        final int port;
        private final Map<String, TreeMap<String, String[]>> kinds = new TreeMap<>();
        private long revision = 1;
        volatile boolean down;
        final AtomicLong calls = new AtomicLong();

        Store() throws IOException {
            HttpServer s = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 200);
            s.setExecutor(Executors.newCachedThreadPool(r -> {
                Thread t = new Thread(r);
                t.setDaemon(true);
                return t;
            }));
            s.createContext("/objects/", this::handle);
            s.start();
            port = s.getAddress().getPort();
        }

        /** Writes an object as the operator does. */
        synchronized void put(String kind, String name, String spec) {
            revision++;
            TreeMap<String, String[]> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
            String[] old = objects.get(name);
            String created = old == null ? Long.toString(revision) : old[2];
            objects.put(name, new String[] {spec, Long.toString(revision), created});
            notifyAll();
        }

        private String object(String name, String[] o) {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"rev\":" + o[1] + ",\"created_rev\":" + o[2]
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + o[0] + ",\"status\":null}";
        }

        private void handle(HttpExchange x) throws IOException {
            calls.incrementAndGet();
            byte[] body = x.getRequestBody().readAllBytes();
            if (down) {
                answer(x, 503, "{}");
                return;
            }
            String[] path = x.getRequestURI().getPath().split("/");
            Map<String, String> query = new TreeMap<>();
            String q = x.getRequestURI().getQuery();
            if (q != null) {
                for (String p : q.split("&")) {
                    query.put(p.substring(0, p.indexOf('=')), p.substring(p.indexOf('=') + 1));
                }
            }
            String kind = path[2];
            String name = path.length > 3 ? path[3] : "";
            String method = x.getRequestMethod();
            if (method.equals("GET") && name.isEmpty() && query.containsKey("watch")) {
                watch(x, kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                return;
            }
            int status = 200;
            String out;
            synchronized (this) {
                TreeMap<String, String[]> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
                String text = new String(body, StandardCharsets.UTF_8);
                if (method.equals("GET") && name.isEmpty()) {
                    List<String> items = new ArrayList<>();
                    objects.forEach((n, o) -> items.add(object(n, o)));
                    out = "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"as_of\":" + revision + "}";
                } else if (method.equals("GET")) {
                    String[] o = objects.get(name);
                    status = o == null ? 404 : 200;
                    out = o == null ? "{}" : object(name, o);
                } else if (method.equals("POST")) {
                    name = field(text, "name");
                    String[] o = objects.get(name);
                    if (o != null) {
                        status = 409;
                        out = object(name, o);
                    } else {
                        put(kind, name, spec(text));
                        out = object(name, objects.get(name));
                    }
                } else if (objects.get(name) == null) {
                    status = 404;
                    out = "{}";
                } else {
                    String[] o = objects.get(name);
                    String rev = method.equals("PUT") ? number(text, "rev") : query.getOrDefault("rev", "");
                    if (!rev.isEmpty() && !rev.equals(o[1])) {
                        status = 409;
                        out = object(name, o);
                    } else if (method.equals("DELETE")) {
                        objects.remove(name);
                        revision++;
                        out = "{}";
                    } else {
                        put(kind, name, spec(text));
                        out = object(name, objects.get(name));
                    }
                }
            }
            answer(x, status, out);
        }

        private void watch(HttpExchange x, String kind, long from, long waitMillis) throws IOException {
            long end = System.nanoTime() + waitMillis * 1_000_000;
            String out;
            synchronized (this) {
                List<String> events = new ArrayList<>();
                while (true) {
                    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).forEach((n, o) -> {
                        if (Long.parseLong(o[1]) > from) {
                            events.add("{\"removed\":false,\"object\":" + object(n, o) + "}");
                        }
                    });
                    long left = (end - System.nanoTime()) / 1_000_000;
                    if (!events.isEmpty() || left <= 0) {
                        break;
                    }
                    try {
                        wait(left);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        break;
                    }
                }
                out = "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + revision + "}";
            }
            answer(x, 200, out);
        }

        private static void answer(HttpExchange x, int status, String text) throws IOException {
            byte[] b = text.getBytes(StandardCharsets.UTF_8);
            x.getResponseHeaders().set("content-type", "application/json");
            x.sendResponseHeaders(status, b.length);
            try (OutputStream o = x.getResponseBody()) {
                o.write(b);
            }
        }

        private static String spec(String object) {
            int i = object.indexOf("\"spec\":") + 7;
            int depth = 0;
            for (int j = i; j < object.length(); j++) {
                char c = object.charAt(j);
                depth += c == '{' ? 1 : c == '}' ? -1 : 0;
                if (depth == 0) {
                    return object.substring(i, j + 1);
                }
            }
            return "null";
        }

        private static String field(String object, String name) {
            int i = object.indexOf("\"" + name + "\":\"") + name.length() + 4;
            return object.substring(i, object.indexOf('"', i));
        }

        private static String number(String object, String name) {
            int i = object.indexOf("\"" + name + "\":");
            return i < 0 ? "" : object.substring(i + name.length() + 3).split("[^0-9]")[0];
        }
    }

    /** A daemon, started with the command and the settings template of the deploy file. */
    static final class Daemon {
        final String name;
        final int callers = freePort();
        final int data = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int peer = freePort();
        final int admin = freePort();
        final Path settings;
        final Path out;
        volatile Process process;

        Daemon(String name, String zone, String service, Store store) throws IOException {
            this.name = name;
            settings = folder.resolve(name + ".toml");
            out = folder.resolve(name + ".log");
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name", name);
            values.put("zone", zone);
            values.put("ip", LOOPBACK);
            values.put("service", service);
            values.put("listen_addrs.outbound", LOOPBACK + ':' + callers);
            values.put("listen_addrs.inbound", LOOPBACK + ':' + data);
            values.put("listen_addrs.ready", LOOPBACK + ':' + ready);
            values.put("listen_addrs.control", LOOPBACK + ':' + control);
            values.put("port_range.0", Integer.toString(peer));
            values.put("port_range.1", Integer.toString(admin));
            values.put("provider.address", LOOPBACK + ':' + store.port);
            values.put("bounds.grace_s", "6");
            values.put("bounds.budget_ratio", "0.2");
            values.put("bounds.budget_window_s", "10");
            values.put("bounds.budget_slack", "56");
            values.put("bounds.quota_window_s", "5");
            values.put("bounds.quota_over", "0.1");
            values.put("bounds.quota_slack", "20");
            String text = Files.readString(Path.of("deploy/settings.toml"));
            for (Map.Entry<String, String> e : values.entrySet()) {
                text = text.replace("{{" + e.getKey() + "}}", e.getValue());
            }
            Files.writeString(settings, text);
            DAEMONS.add(this);
        }

        void start() throws IOException {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(l -> l.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                    .replace("/etc/fuchsiastand/settings.json", settings.toString());
            process = new ProcessBuilder(command.split(" "))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(out.toFile()))
                    .start();
            PROCESSES.add(process);
            log("daemon %s started, pid %d", name, process.pid());
        }

        void signal(String signal) throws IOException, InterruptedException {
            log("daemon %s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                return call(ready, "GET", "/ready", "x", Map.of(), null, 1000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean awaitReady(long millis) {
            long end = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < end) {
                if (isReady()) {
                    return true;
                }
                sleep(100);
            }
            return false;
        }
    }

    /** A request as a backend server received it. */
    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};
    }

    /** What a backend server does with a request. */
    interface Behaviour {
        void run(Request r, Socket s, OutputStream out) throws Exception;
    }

    /** A backend server: heartbeats to the daemon of its host, and answers as its behaviour says. */
    static final class Upstream {
        final String id;
        final String service;
        final ServerSocket server;
        final int port;
        final int slots;
        final long born = System.currentTimeMillis();
        private final AtomicLong sequence = new AtomicLong();
        volatile String state = "ready";
        volatile boolean beats = true;
        volatile Behaviour behaviour;
        final Map<String, AtomicLong> runs = new ConcurrentHashMap<>();

        Upstream(String id, String service, int slots, Behaviour behaviour) throws IOException {
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.behaviour = behaviour;
            server = new ServerSocket(0, 200, InetAddress.getByName(LOOPBACK));
            port = server.getLocalPort();
            thread(this::accept);
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket s = server.accept();
                    thread(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                OutputStream out = s.getOutputStream();
                while (true) {
                    Request r = readRequest(in);
                    if (r == null) {
                        return;
                    }
                    if (!id.equals(r.headers.getOrDefault("X-Expect-Instance", id))) {
                        out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nX-Attempt-Id: "
                                        + r.headers.get("X-Attempt-Id") + "\r\ncontent-length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                        continue;
                    }
                    String attempt = r.headers.getOrDefault("X-Attempt-Id", "");
                    runs.computeIfAbsent(attempt, k -> new AtomicLong()).incrementAndGet();
                    behaviour.run(r, s, out);
                }
            } catch (Exception e) {
                // The connection has ended.
            }
        }

        /** Sends heartbeats to a daemon every 1.5 s. */
        void announceTo(Daemon d) {
            thread(() -> {
                while (true) {
                    if (beats) {
                        beat(d);
                    }
                    sleep(1500);
                }
            });
        }

        int beat(Daemon d) {
            return send(d, nextBeat());
        }

        byte[] nextBeat() {
            return ("{\"service\":\"" + service + "\",\"address\":\"" + LOOPBACK + ':' + port
                            + "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                            + "\",\"cold_remaining_ms\":0,\"seq\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}")
                    .getBytes(StandardCharsets.UTF_8);
        }

        int send(Daemon d, byte[] beat) {
            return post(d, "heartbeat", beat);
        }

        int deregister(Daemon d) {
            return post(d, "deregister", ("{\"born\":" + born + "}").getBytes(StandardCharsets.UTF_8));
        }

        private int post(Daemon d, String what, byte[] body) {
            Map<String, String> headers = Map.of("content-type", "application/json");
            try {
                return call(d.control, "POST", "/instances/" + id + '/' + what, "x", headers, body, 1000).status;
            } catch (IOException e) {
                return 0;
            }
        }

        static void answer(Request r, OutputStream out, int status, String body) throws IOException {
            byte[] b = body.getBytes(StandardCharsets.UTF_8);
            out.write(("HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + r.headers.get("X-Attempt-Id")
                            + "\r\nX-Response-Signature: sig-" + r.headers.get("X-Attempt-Id") + "\r\ncontent-length: "
                            + b.length + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    static Thread thread(Runnable work) {
        Thread t = new Thread(work);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return b.size() == 0 ? null : b.toString(StandardCharsets.ISO_8859_1);
            }
            if (c != '\r') {
                b.write(c);
            }
        }
        return b.toString(StandardCharsets.ISO_8859_1);
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Request r = new Request();
        String[] words = line.split(" ");
        r.method = words[0];
        r.target = words[1];
        readFields(in, r.headers);
        r.body = readBody(in, r.headers, false);
        return r;
    }

    static void readFields(InputStream in, Map<String, String> out) throws IOException {
        for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
            int colon = l.indexOf(':');
            out.put(l.substring(0, colon).strip(), l.substring(colon + 1).strip());
        }
    }

    static byte[] readBody(InputStream in, Map<String, String> headers, boolean toEnd) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            while (true) {
                String l = readLine(in);
                if (l == null) {
                    throw new IOException("the body breaks off");
                }
                int n = Integer.parseInt(l.split(";")[0].strip(), 16);
                if (n == 0) {
                    readFields(in, new TreeMap<>());
                    return b.toByteArray();
                }
                byte[] part = in.readNBytes(n);
                if (part.length < n) {
                    throw new IOException("the body breaks off");
                }
                b.write(part);
                readLine(in);
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            int n = Integer.parseInt(length);
            byte[] out = in.readNBytes(n);
            if (out.length < n) {
                throw new IOException("the body breaks off");
            }
            return out;
        }
        return toEnd ? in.readAllBytes() : new byte[0];
    }

    /** An answer as a caller received it. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static byte[] head(String method, String target, String host, Map<String, String> headers, int bodyLength) {
        StringBuilder h = new StringBuilder(method + ' ' + target + " HTTP/1.1\r\nHost: " + host + "\r\n");
        headers.forEach((k, v) -> h.append(k).append(": ").append(v).append("\r\n"));
        if (bodyLength >= 0) {
            h.append("content-length: ").append(bodyLength).append("\r\n");
        }
        return h.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static Answer readAnswer(InputStream in, boolean isHead) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new IOException("the connection ended without an answer");
        }
        Answer a = new Answer();
        a.status = Integer.parseInt(line.split(" ")[1]);
        readFields(in, a.headers);
        a.body = isHead ? new byte[0] : readBody(in, a.headers, true);
        return a;
    }

    /** Sends a request on a new connection. */
    static Answer call(
            int port, String method, String target, String host, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(LOOPBACK, port), 1000);
            s.setSoTimeout(timeoutMillis);
            s.setTcpNoDelay(true);
            OutputStream out = s.getOutputStream();
            out.write(head(method, target, host, headers, body == null ? -1 : body.length));
            if (body != null) {
                out.write(body);
            }
            out.flush();
            return readAnswer(new BufferedInputStream(s.getInputStream()), false);
        }
    }

    /** A configuration with the given routes, each a JSON row, and tenants, each a JSON row. */
    static String configuration(int version, List<String> routes, List<String> services, List<String> tenants) {
        List<String> serviceRows = services.stream()
                .map(s -> "[\"" + s + "\",\"/health\",330,\"h1\",false]")
                .toList();
        return "{\"version\":\"" + String.format("%08x", version)
                + "\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"path_prefix\",\"kind\",\"timeout_ms\","
                + "\"target_latency_ms\",\"priority\",\"traffic_split\",\"max_attempts\",\"public\",\"service\"],\"rows\":["
                + String.join(",", routes)
                + "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":["
                + String.join(",", serviceRows)
                + "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","
                + "\"burst\"],\"rows\":[" + String.join(",", tenants) + "]}}";
    }

    static String route(String name, String host, String prefix, String kind, int timeoutMillis, boolean open, String service) {
        return "[\"" + name + "\",\"" + host + "\",\"" + prefix + "\",\"" + kind + "\"," + timeoutMillis + ",800,2,null,2,"
                + open + ",\"" + service + "\"]";
    }
}
