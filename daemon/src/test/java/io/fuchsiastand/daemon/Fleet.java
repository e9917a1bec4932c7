package io.fuchsiastand.daemon;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.config.ConfigurationIndex;
import io.fuchsiastand.config.ConfigurationReader;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.config.TomlFile;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.owner.LocalBackend;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.key.KeyBucket;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.standin.BackendServerStandin;
import io.fuchsiastand.standin.MemoryObjectStore;
import io.fuchsiastand.standin.PlatformStandin;
import io.fuchsiastand.store.StoredObject;

/** A fleet on the loopback address for tests: daemons, and stand-ins for the platform and the backend servers. */
final class Fleet implements AutoCloseable {

    static final String OPERATOR_CREDENTIAL = "operators-credential";
    static final String ZERMATT_KEY = "fsk_test_key_of_zermatt";

    private static final String TEAMS = "[teams.zermatt]\nplan = \"gold\"\n[teams.locarno]\nplan = \"silver\"\n";
    private static final String PLANS =
            """
            [services.menu]
            timeout = "5s"
            [[services.menu.routes]]
            path = "/menu"
            [[services.menu.routes]]
            path = "/open"
            open = true
            [services.till]
            timeout = "2s"
            [[services.till.routes]]
            path = "/till"
            [plans.gold.menu]
            rate = 10000
            burst = 1000
            [plans.gold.till]
            rate = 10000
            burst = 1000
            [plans.silver.menu]
            rate = 1
            burst = 2
            """;
    private static final long MAX_WAIT_MILLIS = 40_000;
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;
    // Test processes that run at the same time begin at different ports.
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % PORT_COUNT));

    final MemoryObjectStore objects = new MemoryObjectStore();
    final List<Daemon> daemons = new ArrayList<>();
    final List<Settings> settings = new ArrayList<>();
    final List<BackendServerStandin> backends = new ArrayList<>();
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PlatformStandin platform;

    Fleet(int size) throws Exception {
        this(size, "");
    }

    // Starts daemons with further lines at the end of their settings, after those of the table of limits.
    Fleet(int size, String furtherSettings) throws Exception {
        platform = new PlatformStandin("127.0.0.1", 0, objects);
        publish(TEAMS, PLANS);
        giveKey("zermatt", ZERMATT_KEY);
        for (int i = 0; i < size; i++) {
            settings.add(Settings.parse(
                    "h" + i + ".toml", settingsFile(i, i == 0 ? "" : "127.0.0.1:" + peerPort(0)) + furtherSettings));
            daemons.add(new Daemon(settings.get(i)));
        }
        await("all daemons are ready and have found each other", () -> daemons.stream()
                .allMatch(d -> d.status().lifecycle() == Lifecycle.READY
                        && d.status().members().size() == size));
    }

    private int peerPort(int daemon) {
        return settings.get(daemon).ports().peer();
    }

    private String settingsFile(int i, String seed) throws Exception {
        return """
                host = "h%d"
                data_centre = "dc%d"
                address = "127.0.0.1"
                insecure = true
                seeds = [%s]
                [ports]
                callers = %d
                data = %d
                peer = %d
                admin = %d
                [platform]
                host = "127.0.0.1"
                port = %d
                [operator]
                digest = "%s"
                [limits]
                shards = 8
                """
                .formatted(
                        i,
                        i % 2,
                        seed.isEmpty() ? "" : '"' + seed + '"',
                        freePort(),
                        freePort(),
                        freePort(),
                        freePort(),
                        platform.port(),
                        Digests.ofText(OPERATOR_CREDENTIAL));
    }

    // Starts a daemon again that has been closed, once all its ports are free: a start that fails at the second port
    // keeps the first one.
    Daemon restart(int i) throws Exception {
        Settings.Ports p = settings.get(i).ports();
        await("the closed daemon has released its ports", () -> Stream.of(p.callers(), p.data(), p.peer(), p.admin())
                .allMatch(Fleet::isFree));
        for (int attempt = 0; ; attempt++) {
            try {
                Daemon d = new Daemon(settings.get(i));
                daemons.set(i, d);
                return d;
            } catch (FuchsiastandException e) {
                // The sockets of the closed daemon may still be open for a short time.
                if (attempt == 100) {
                    throw e;
                }
                try {
                    Thread.sleep(50);
                } catch (InterruptedException x) {
                    throw new IllegalStateException(x);
                }
            }
        }
    }

    BackendServerStandin startBackend(int daemon, String id, String service) throws Exception {
        return startBackend(daemon, id, service, 3);
    }

    BackendServerStandin startBackend(int daemon, String id, String service, int slots) throws Exception {
        BackendServerStandin b = new BackendServerStandin(id, service, 0);
        backends.add(b);
        b.announce(settings.get(daemon).ports().admin(), slots);
        await(id + " is in the rotation of every daemon", () -> daemons.stream()
                .allMatch(d -> d.status().backends().stream().anyMatch(s -> s.id().equals(id) && s.weight() > 0)));
        return b;
    }

    void announce(int daemon, String id, String service, int port) throws Exception {
        LocalBackend.Announcement a = LocalBackend.Announcement.of(id, service, "127.0.0.1", port, 8, 3600);
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://127.0.0.1:" + settings.get(daemon).ports().admin() + "/v1/backends"))
                .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(a)))
                .build();
        if (send(request).statusCode() != 200) {
            throw new IllegalStateException("the daemon did not accept the announcement of " + id);
        }
    }

    void publish(String teams, String plans) {
        Configuration c = ConfigurationReader.read(new TomlFile("teams", teams), new TomlFile("plans", plans))
                .configuration();
        Map<String, byte[]> chunks = ConfigurationCodec.split(c);
        chunks.forEach((d, bytes) -> {
            if (objects.get(ConfigurationCodec.chunkName(d)).isEmpty()) {
                objects.put(ConfigurationCodec.chunkName(d), bytes, StoredObject.ABSENT, id());
            }
        });
        StoredObject old = objects.get(ConfigurationCodec.INDEX_NAME).orElse(null);
        long version = old == null
                ? 0
                : Json.read(old.value(), ConfigurationIndex.class).version();
        ConfigurationIndex index = new ConfigurationIndex(version + 1, List.copyOf(chunks.keySet()), List.of());
        objects.put(
                ConfigurationCodec.INDEX_NAME,
                Json.write(index),
                old == null ? StoredObject.ABSENT : old.version(),
                id());
    }

    void publishChangedPlans() {
        publish(TEAMS, PLANS.replace("burst = 2", "burst = 3"));
    }

    void giveKey(String team, String key) {
        changeKey(new KeyEntry(Digests.ofText(key), team, Instant.EPOCH, null));
    }

    void withdrawKey(String team, String key) {
        changeKey(new KeyEntry(Digests.ofText(key), team, Instant.EPOCH, Instant.now()));
    }

    HttpResponse<String> get(int daemon, String path, String key) throws Exception {
        return send(request(daemon, path, key).GET().build());
    }

    HttpRequest.Builder request(int daemon, String path, String key) {
        HttpRequest.Builder b = HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + settings.get(daemon).ports().callers() + path));
        return key == null ? b : b.header("Authorization", "Bearer " + key);
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    // Waits until a condition holds. The time limit is long, because these tests check only that the condition becomes
    // true; the benchmarks check how fast it does.
    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port)) {
            return s.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    static void await(String condition, BooleanSupplier holds) throws Exception {
        for (long i = 0; i < MAX_WAIT_MILLIS / 20; i++) {
            if (holds.getAsBoolean()) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("waited in vain until " + condition);
    }

    @Override
    public void close() throws Exception {
        for (BackendServerStandin b : backends) {
            b.close();
        }
        daemons.forEach(Daemon::close);
        platform.close();
    }

    private void changeKey(KeyEntry entry) {
        String name = KeyBucket.objectNameFor(entry.digest());
        StoredObject old = objects.get(name).orElse(null);
        KeyBucket bucket = old == null ? KeyBucket.EMPTY : Json.read(old.value(), KeyBucket.class);
        objects.put(name, Json.write(bucket.with(entry)), old == null ? StoredObject.ABSENT : old.version(), id());
    }

    private static String id() {
        return UUID.randomUUID().toString();
    }

    // Returns a port that no other call of this process returns. The range lies below that of outgoing connections, so
    // that
    // none of them takes the port before a daemon listens on it, or while the daemon restarts.
    static int freePort() throws Exception {
        while (true) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
            try (ServerSocket s = new ServerSocket(port)) {
                return s.getLocalPort();
            } catch (BindException e) {
                // Another process listens on this port.
                continue;
            }
        }
    }
}
