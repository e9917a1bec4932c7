package io.fuchsiastand.store;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.http.LoadBalancing;
import io.fuchsiastand.http.MessageLimits;
import io.fuchsiastand.http.MessageSizeLimit;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.utils.TimeoutHttpRequesterFilter;

/** A client of the default object API, which fuchsiastand defines over HTTP and JSON; see docs/PROTOCOLS.md. */
public final class HttpObjectStore implements ObjectStore {

    /** The path of the list of objects; the path of an object is this path, a slash and the name of the object. */
    public static final String OBJECTS_PATH = "/v1/objects";
    /** The path of watches. */
    public static final String WATCH_PATH = "/v1/watch";

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofSeconds(5);
    private static final int MAX_SECTION_BYTES = 65_536;
    // A list has no pages.
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;

    private final BlockingHttpClient client;
    private final BlockingHttpClient watchClient;
    private final String address;

    /**
     * Creates a client.
     *
     * @param host the IP address or host name of the platform
     * @param port the port of the platform
     * @param maxWatchWait the maximum time that a call of {@link #watch} waits for changes
     */
    public HttpObjectStore(String host, int port, Duration maxWatchWait) {
        address = host + ':' + port;
        client = createClient(host, port, CALL_TIMEOUT);
        watchClient = createClient(host, port, maxWatchWait.plus(WATCH_TIMEOUT_MARGIN));
    }

    private static BlockingHttpClient createClient(String host, int port, Duration timeout) {
        return HttpClients.forSingleAddress(host, port)
                .loadBalancerFactory(LoadBalancing.withoutHealthChecks("platform"))
                // The calling thread waits for the response, and needs no other thread to receive its parts. If a call
                // is
                // cancelled, two threads may access the queue between them at the same time, which can crash the JVM.
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .appendConnectionFactoryFilter(
                        MessageSizeLimit.forResponses(MessageLimits.unshared(MAX_SECTION_BYTES, MAX_BODY_BYTES)))
                .appendClientFilter(new TimeoutHttpRequesterFilter(timeout, true))
                .buildBlocking();
    }

    /**
     * The response to a write.
     *
     * @param version the new version of the object
     */
    public record Written(long version) {}

    @Override
    public Optional<StoredObject> get(String name) {
        HttpResponse r = call(client, client.newRequest(HttpRequestMethod.GET, OBJECTS_PATH + '/' + name));
        if (r.status().code() == NOT_FOUND) {
            return Optional.empty();
        }
        return Optional.of(body(r, StoredObject.class));
    }

    @Override
    public ObjectsAtRevision list(String prefix) {
        String target = OBJECTS_PATH + "?prefix=" + encode(prefix);
        return body(call(client, client.newRequest(HttpRequestMethod.GET, target)), ObjectsAtRevision.class);
    }

    @Override
    public long put(String name, byte[] value, long expected, String changeId) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new FuchsiastandException(
                    ErrorCode.PLATFORM_ERROR, name + " has " + value.length + " bytes, more than the platform accepts");
        }
        String target = OBJECTS_PATH + '/' + name + "?version=" + expected + "&change=" + encode(changeId);
        Buffer payload = client.executionContext().bufferAllocator().wrap(value);
        HttpResponse r =
                call(client, client.newRequest(HttpRequestMethod.PUT, target).payloadBody(payload));
        return body(r, Written.class).version();
    }

    @Override
    public void delete(String name, long expected) {
        String target = OBJECTS_PATH + '/' + name + "?version=" + expected;
        call(client, client.newRequest(HttpRequestMethod.DELETE, target));
    }

    @Override
    public ObjectsAtRevision watch(String prefix, long from, Duration wait) {
        String target = WATCH_PATH + "?prefix=" + encode(prefix) + "&from=" + from + "&wait=" + wait.toMillis();
        return body(call(watchClient, watchClient.newRequest(HttpRequestMethod.GET, target)), ObjectsAtRevision.class);
    }

    @Override
    public void close() {
        client.asClient().closeAsync().subscribe();
        watchClient.asClient().closeAsync().subscribe();
    }

    private HttpResponse call(BlockingHttpClient httpClient, HttpRequest request) {
        // An answer that the platform sends twice cannot be told from the answer to the next call on the connection.
        request.headers().set("connection", "close");
        HttpResponse r;
        try {
            r = httpClient.request(request);
        } catch (Exception e) {
            throw new FuchsiastandException(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "the platform at " + address + " gave no valid response: " + e.getMessage(),
                    e);
        }
        int status = r.status().code();
        if (status == CONFLICT) {
            throw new FuchsiastandException(ErrorCode.CONFLICT, request.path() + " does not have the expected version");
        }
        if (status >= SERVER_ERROR) {
            throw new FuchsiastandException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "the platform at " + address + " returned status " + status);
        }
        if (status != OK && status != NOT_FOUND) {
            throw new FuchsiastandException(
                    ErrorCode.PLATFORM_ERROR, "the platform returned status " + status + " for " + request.path());
        }
        return r;
    }

    private static <T> T body(HttpResponse r, Class<T> type) {
        Buffer b = r.payloadBody();
        byte[] bytes = new byte[b.readableBytes()];
        b.readBytes(bytes);
        return Json.read(bytes, type);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
