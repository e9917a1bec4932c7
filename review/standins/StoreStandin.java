import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store, in memory: objects by kind and name, revisions, conditions and watches. */
final class StoreStandin {

    private record Stored(String name, long rev, long createdRev, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"rev\":" + rev + ",\"created_rev\":" + createdRev
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private record Event(long rev, String kind, boolean removed, Stored object) {}

    private final Map<String, TreeMap<String, Stored>> kinds = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final HttpServer server;
    private long revision = 10;
    private volatile boolean down;

    StoreStandin() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** While it is down, each call gets 503, which says that nothing was done, and waiting watches are cut off. */
    synchronized void setDown(boolean value) {
        down = value;
        notifyAll();
    }

    /** The operator's write; it replaces the object whatever its revision. */
    synchronized void put(String kind, String name, String spec) {
        write(kind, name, spec);
    }

    private Stored write(String kind, String name, String spec) {
        TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Stored old = objects.get(name);
        revision++;
        Stored next = new Stored(name, revision, old == null ? revision : old.createdRev(), spec);
        objects.put(name, next);
        events.add(new Event(revision, kind, false, next));
        notifyAll();
        return next;
    }

    private void handle(HttpExchange x) throws IOException {
        try (x) {
            String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            if (down) {
                respond(x, 503, "{}");
                return;
            }
            String[] path = x.getRequestURI().getPath().substring("/objects/".length()).split("/");
            String query = x.getRequestURI().getQuery() == null ? "" : x.getRequestURI().getQuery();
            String name = path.length > 1 ? path[1] : "";
            switch (x.getRequestMethod()) {
                case "GET" -> get(x, path[0], name, query);
                case "POST", "PUT" -> write(x, path[0], name, body);
                case "DELETE" -> delete(x, path[0], name, query);
                default -> respond(x, 405, "{}");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void get(HttpExchange x, String kind, String name, String query) throws IOException, InterruptedException {
        if (query.contains("watch=")) {
            watch(x, kind, number(query, "watch"), number(query, "wait_ms"));
            return;
        }
        String out;
        int status = 200;
        synchronized (this) {
            TreeMap<String, Stored> objects = kinds.getOrDefault(kind, new TreeMap<>());
            if (name.isEmpty()) {
                out = "{\"items\":["
                        + String.join(",", objects.values().stream().map(Stored::json).toList())
                        + "],\"has_more\":false,\"as_of\":" + revision + "}";
            } else {
                Stored o = objects.get(name);
                status = o == null ? 404 : 200;
                out = o == null ? "{}" : o.json();
            }
        }
        respond(x, status, out);
    }

    private void watch(HttpExchange x, String kind, long from, long waitMillis)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        String out;
        synchronized (this) {
            List<Event> found = eventsAfter(kind, from);
            while (found.isEmpty() && !down && end - System.nanoTime() > 1_000_000) {
                wait((end - System.nanoTime()) / 1_000_000);
                found = eventsAfter(kind, from);
            }
            if (down) {
                return; // the watch is cut off without an answer
            }
            out = "{\"events\":["
                    + String.join(
                            ",",
                            found.stream()
                                    .map(e -> "{\"removed\":" + e.removed() + ",\"object\":" + e.object().json() + "}")
                                    .toList())
                    + "],\"as_of\":" + revision + "}";
        }
        respond(x, 200, out);
    }

    private List<Event> eventsAfter(String kind, long from) {
        return events.stream().filter(e -> e.rev() > from && e.kind().equals(kind)).toList();
    }

    private void write(HttpExchange x, String kind, String name, String body) throws IOException {
        String target = name.isEmpty() ? text(body, "name") : name;
        long expected = body.contains("\"rev\":") ? Long.parseLong(after(body, "\"rev\":").split("[,}]")[0].strip()) : 0;
        int status;
        String out;
        synchronized (this) {
            Stored old = kinds.getOrDefault(kind, new TreeMap<>()).get(target);
            if (name.isEmpty() ? old != null : old != null && expected != 0 && old.rev() != expected) {
                status = 409;
                out = old.json();
            } else if (!name.isEmpty() && old == null) {
                status = 404;
                out = "{}";
            } else {
                status = name.isEmpty() ? 201 : 200;
                out = write(kind, target, specOf(body)).json();
            }
        }
        respond(x, status, out);
    }

    private void delete(HttpExchange x, String kind, String name, String query) throws IOException {
        int status = 200;
        String out = "{}";
        synchronized (this) {
            Stored old = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            if (old == null) {
                status = 404;
            } else if (query.contains("rev=") && number(query, "rev") != old.rev()) {
                status = 409;
                out = old.json();
            } else {
                revision++;
                kinds.get(kind).remove(name);
                events.add(new Event(revision, kind, true, old));
                notifyAll();
            }
        }
        respond(x, status, out);
    }

    // The system's own objects have a flat object as their spec, so its end is the next closing brace.
    private static String specOf(String body) {
        String rest = after(body, "\"spec\":").strip();
        return rest.substring(0, rest.indexOf('}') + 1);
    }

    private static String after(String text, String mark) {
        return text.substring(text.indexOf(mark) + mark.length());
    }

    private static String text(String body, String field) {
        return after(body, "\"" + field + "\":").strip().split("\"")[1];
    }

    private static long number(String query, String field) {
        for (String part : query.split("&")) {
            if (part.startsWith(field + "=")) {
                return Long.parseLong(part.substring(field.length() + 1));
            }
        }
        return 0;
    }

    private static void respond(HttpExchange x, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
    }
}
