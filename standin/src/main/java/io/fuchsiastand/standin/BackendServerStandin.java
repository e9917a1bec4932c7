package io.fuchsiastand.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.fuchsiastand.config.Json;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;

import static io.servicetalk.concurrent.api.Single.failed;
import static io.servicetalk.concurrent.api.Single.never;
import static io.servicetalk.concurrent.api.Single.succeeded;

/** A stand-in backend server that responds to calls, shows the configured faults, records calls and announces itself. */
public final class BackendServerStandin implements AutoCloseable {

    private static final int MAX_RECORDED_CALLS = 100_000;
    private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(2);

    private final String id;
    private final String service;
    private final long born = System.currentTimeMillis();
    private final ServerContext server;
    private final AtomicLong callCount = new AtomicLong();
    private final ConcurrentLinkedQueue<String> receivedCalls = new ConcurrentLinkedQueue<>();
    private final ScheduledExecutorService announcer = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "announcer");
        t.setDaemon(true);
        return t;
    });
    private final ConcurrentLinkedQueue<Long> callTimes = new ConcurrentLinkedQueue<>();
    private volatile BackendFaults faults = BackendFaults.NONE;
    private volatile OptionalDouble rateLimit = OptionalDouble.empty();
    private volatile boolean leaving;
    private BlockingHttpClient daemon;

    /**
     * The announcement of a backend server to the daemon of its host.
     *
     * @param id the name of the backend server
     * @param service the service that it belongs to
     * @param address its IP address
     * @param port its port
     * @param slots its maximum number of concurrent calls
     * @param ttlSeconds the time after which the announcement expires, in seconds
     * @param born when the backend server started, in milliseconds since 1970
     */
    public record Announcement(
            String id, String service, String address, int port, int slots, int ttlSeconds, long born) {}

    /**
     * Starts a backend server on the loopback address.
     *
     * @param id the name of the backend server
     * @param service the service that it belongs to
     * @param port the port to listen on, or 0 for any free port
     * @throws Exception if the server cannot listen on the port
     */
    public BackendServerStandin(String id, String service, int port) throws Exception {
        this.id = id;
        this.service = service;
        server =
                HttpServers.forAddress(new InetSocketAddress("127.0.0.1", port)).listenStreamingAndAwait(this::handle);
    }

    /**
     * Announces the backend server to the daemon and renews the announcement until the backend server drains or closes.
     *
     * @param adminPort the admin port of the daemon on this host
     * @param slots the maximum number of concurrent calls of the backend server
     */
    public void announce(int adminPort, int slots) {
        daemon = HttpClients.forSingleAddress("127.0.0.1", adminPort).buildBlocking();
        Announcement a = new Announcement(id, service, "127.0.0.1", port(), slots, 6, born);
        announcer.scheduleWithFixedDelay(() -> announceOnce(a), 0, RENEWAL_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Stops the announcements and requests that the daemon sends no new calls.
     *
     * @throws Exception if the daemon does not respond
     */
    public void drain() throws Exception {
        announcer.shutdownNow();
        daemon.request(daemon.newRequest(HttpRequestMethod.POST, "/v1/backends/" + id + "/drain"));
    }

    /**
     * Sets the faults.
     *
     * @param next the faults of all later calls
     */
    public void setFaults(BackendFaults next) {
        faults = next;
    }

    /**
     * Names a rate limit in all later responses, or no longer names one. The backend server does not enforce it.
     *
     * @param limit calls a second, or empty if there is no limit
     */
    public void setRateLimit(OptionalDouble limit) {
        rateLimit = limit;
    }

    /** States in all later responses that the backend server is about to leave. It still renews its announcement. */
    public void leave() {
        leaving = true;
    }

    /**
     * Returns when the backend server received the latest calls, at most 100,000.
     *
     * @return the times of {@link System#nanoTime}, in order of receipt; health checks do not count
     */
    public List<Long> callTimes() {
        return List.copyOf(callTimes);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.listenAddress()).getPort();
    }

    /**
     * Returns the number of calls that the backend server has received. Health checks and shed calls do not count.
     *
     * @return the number of calls
     */
    public long callCount() {
        return callCount.get();
    }

    /**
     * Returns the latest calls received, at most 100,000, without health checks and shed calls. A call that hangs or fails
     * is also listed.
     *
     * @return for each call, in order, the value of its header {@code x-call} or, if it has none, its path
     */
    public List<String> receivedCalls() {
        return List.copyOf(receivedCalls);
    }

    /** Waits until the server is closed. */
    public void await() {
        server.awaitShutdown();
    }

    @Override
    public void close() throws Exception {
        announcer.shutdownNow();
        server.close();
    }

    private void announceOnce(Announcement a) {
        try {
            Buffer body = daemon.executionContext().bufferAllocator().wrap(Json.write(a));
            daemon.request(
                    daemon.newRequest(HttpRequestMethod.POST, "/v1/backends").payloadBody(body));
        } catch (Exception e) {
            // The daemon may be starting or stopped; the next renewal retries.
            Thread.onSpinWait();
        }
    }

    private Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
        if (request.path().equals("/standin/faults")) {
            return request.toRequest().map(r -> {
                byte[] bytes = new byte[r.payloadBody().readableBytes()];
                r.payloadBody().readBytes(bytes);
                faults = Json.read(bytes, BackendFaults.class);
                return factory.ok();
            });
        }
        if (request.path().equals("/health")) {
            return succeeded(factory.ok());
        }
        callTimes.add(System.nanoTime());
        if (callTimes.size() > MAX_RECORDED_CALLS) {
            callTimes.poll();
        }
        return handleCall(context, request, factory).map(this::addStatements);
    }

    private StreamingHttpResponse addStatements(StreamingHttpResponse response) {
        rateLimit.ifPresent(x -> response.headers().set("fuchsiastand-rate-limit", Double.toString(x)));
        if (leaving) {
            response.headers().set("fuchsiastand-leaving", "1");
        }
        return response;
    }

    private Single<StreamingHttpResponse> handleCall(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
        BackendFaults f = faults;
        double random = ThreadLocalRandom.current().nextDouble();
        if (random < f.shedShare()) {
            return readBodyAndRespond(request, factory.serviceUnavailable().setHeader("retry-after", "1"));
        }
        callCount.incrementAndGet();
        recordCall(request);
        Single<StreamingHttpResponse> response = respond(context, request, factory, f, random - f.shedShare());
        return f.delayMillis() == 0
                ? response
                : context.executionContext()
                        .executor()
                        .timer(Duration.ofMillis(f.delayMillis()))
                        .concat(response);
    }

    private Single<StreamingHttpResponse> respond(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory factory,
            BackendFaults f,
            double random) {
        if (random < f.hangShare()) {
            return never();
        }
        double remaining = random - f.hangShare();
        if (remaining < f.errorShare()) {
            return readBodyAndRespond(request, factory.newResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR));
        }
        String team = String.valueOf(request.headers().get("fuchsiastand-team"));
        boolean hasKey = request.headers().contains("authorization");
        String text = id + " ran " + request.method() + ' ' + request.requestTarget() + " for " + team
                + (hasKey ? " WITH KEY" : "") + '\n';
        Buffer body = context.executionContext().bufferAllocator().fromUtf8(text);
        if (remaining - f.errorShare() < f.truncateShare()) {
            Publisher<Buffer> truncated = Publisher.from(body).concat(Publisher.<Buffer>failed(new IOException("cut")));
            return succeeded(factory.ok().payloadBody(truncated));
        }
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        StreamingHttpResponse ok =
                factory.ok().payloadBody(Publisher.from(body)).setHeader("content-length", Integer.toString(length));
        return readBodyAndRespond(request, ok);
    }

    private static Single<StreamingHttpResponse> readBodyAndRespond(
            StreamingHttpRequest request, StreamingHttpResponse response) {
        return request.messageBody()
                .ignoreElements()
                .concat(succeeded(response))
                .onErrorResume(e -> failed(e));
    }

    private void recordCall(StreamingHttpRequest request) {
        CharSequence call = request.headers().get("x-call");
        receivedCalls.add(call == null ? request.path() : call.toString());
        if (receivedCalls.size() > MAX_RECORDED_CALLS) {
            receivedCalls.poll();
        }
    }
}
