package io.fuchsiastand.standin;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.HttpObjectStore;
import io.fuchsiastand.store.ObjectStore;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;

/**
 * Serves a {@link MemoryObjectStore} over HTTP in place of a platform with the default object API. Tests also set
 * its faults and read its call counts over HTTP.
 */
public final class PlatformStandin implements AutoCloseable {

    private static final String FAULTS_PATH = "/v1/faults";
    private static final String COUNTS_PATH = "/v1/counts";

    private final MemoryObjectStore store;
    private final ServerContext server;

    /**
     * Starts a server.
     *
     * @param host the address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param store the store to serve
     * @throws Exception if the server cannot listen on the port
     */
    public PlatformStandin(String host, int port, MemoryObjectStore store) throws Exception {
        this.store = store;
        server = HttpServers.forAddress(new InetSocketAddress(host, port)).listenBlockingAndAwait(this::handle);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.listenAddress()).getPort();
    }

    /** Waits until the server is closed. */
    public void await() {
        server.awaitShutdown();
    }

    @Override
    public void close() throws Exception {
        server.close();
    }

    private HttpResponse handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        try {
            Object body = dispatch(request);
            return body == null ? factory.notFound() : jsonResponse(context, factory.ok(), body);
        } catch (FuchsiastandException e) {
            if (e.code() == ErrorCode.CONFLICT) {
                return factory.conflict();
            }
            return e.code() == ErrorCode.PLATFORM_UNAVAILABLE ? factory.serviceUnavailable() : factory.badRequest();
        }
    }

    private Object dispatch(HttpRequest r) {
        String path = r.path();
        if (path.equals(HttpObjectStore.WATCH_PATH)) {
            Duration wait = Duration.ofMillis(longParameter(r, "wait"));
            return store.watch(parameter(r, "prefix"), longParameter(r, "from"), wait);
        }
        if (path.equals(HttpObjectStore.OBJECTS_PATH)) {
            return store.list(parameter(r, "prefix"));
        }
        if (path.startsWith(HttpObjectStore.OBJECTS_PATH + '/')) {
            return handleObject(r, path.substring(HttpObjectStore.OBJECTS_PATH.length() + 1));
        }
        if (path.equals(FAULTS_PATH)) {
            store.setFaults(Json.read(bodyBytes(r), MemoryObjectStore.Faults.class));
            // The body has no meaning: it is always this value, not the faults that are in force.
            return MemoryObjectStore.Faults.NONE;
        }
        return path.equals(COUNTS_PATH) ? store.counts() : null;
    }

    private Object handleObject(HttpRequest r, String name) {
        if (r.method().equals(HttpRequestMethod.PUT)) {
            if (r.payloadBody().readableBytes() > ObjectStore.MAX_VALUE_BYTES) {
                throw new FuchsiastandException(
                        ErrorCode.PLATFORM_ERROR, "the value is larger than the platform accepts");
            }
            return new HttpObjectStore.Written(
                    store.put(name, bodyBytes(r), longParameter(r, "version"), parameter(r, "change")));
        }
        if (r.method().equals(HttpRequestMethod.DELETE)) {
            store.delete(name, longParameter(r, "version"));
            return new HttpObjectStore.Written(0);
        }
        return store.get(name).orElse(null);
    }

    private static HttpResponse jsonResponse(HttpServiceContext context, HttpResponse response, Object body) {
        return response.payloadBody(context.executionContext().bufferAllocator().wrap(Json.write(body)))
                .setHeader("content-type", "application/json");
    }

    private static byte[] bodyBytes(HttpRequest r) {
        Buffer b = r.payloadBody();
        byte[] out = new byte[b.readableBytes()];
        b.readBytes(out);
        return out;
    }

    private static String parameter(HttpRequest r, String name) {
        String v = r.queryParameter(name);
        return v == null ? "" : v;
    }

    private static long longParameter(HttpRequest r, String name) {
        return Long.parseLong(parameter(r, name));
    }
}
