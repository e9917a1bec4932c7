package io.fuchsiastand.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.admission.RequestAdmission;
import io.fuchsiastand.daemon.board.Scheduling;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.daemon.owner.LocalBackend;
import io.fuchsiastand.daemon.owner.OwnerService;
import io.fuchsiastand.daemon.owner.SlotAdmission;
import io.fuchsiastand.time.Clock;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.transport.api.ServerContext;
import org.tinylog.Logger;

import static io.servicetalk.concurrent.api.Single.succeeded;

/**
 * Sends calls through an {@link OwnerService} of its own to a local echo server, so that the classes that calls need are
 * loaded. A build records these classes, so that class loading does not slow down the first calls of callers.
 */
final class Warmup {

    private static final int CALLS = 3_000;
    private static final int CONCURRENT_CALLS = 10;
    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
    private static final String LOOPBACK = "127.0.0.1";
    private static final String WARM_UP_NAME = "warm-up";

    private Warmup() {}

    /**
     * Sends the calls in batches. Starts no new batch after {@link #TIME_LIMIT}; a batch that has started may take as long
     * again.
     *
     * @param transport creates the servers and clients
     * @param clock the clock
     */
    static void run(Transport transport, Clock clock) {
        long start = clock.nanoTime();
        try (ServerContext echo = transport.plainServer((c, r, f) -> r.messageBody()
                        .ignoreElements()
                        .concat(succeeded(f.ok().payloadBody(Publisher.from(
                                c.executionContext().bufferAllocator().fromAscii("warm"))))));
                StreamingHttpClient echoClient = transport.backendClient(LOOPBACK, port(echo))) {
            LocalBackend backend = new LocalBackend(
                    LocalBackend.Announcement.of(
                            WARM_UP_NAME, WARM_UP_NAME, LOOPBACK, port(echo), CONCURRENT_CALLS, 60),
                    new Service(WARM_UP_NAME, 0, TIME_LIMIT, CONCURRENT_CALLS, Detection.CAREFUL, List.of()),
                    echoClient,
                    clock,
                    Scheduling.DEFAULT);
            RequestLog log = new RequestLog(clock);
            Metrics metrics = new Metrics();
            OwnerService owner = new OwnerService(
                    id -> Optional.of(backend),
                    b -> {},
                    clock,
                    WARM_UP_NAME,
                    HeaderConventions.DEFAULT,
                    log,
                    new SlotAdmission(
                            clock,
                            HeaderConventions.DEFAULT,
                            log,
                            metrics,
                            new RequestAdmission(false, clock, HeaderConventions.DEFAULT, log, metrics),
                            transport.timer(),
                            RandomGenerator.getDefault()),
                    transport.timer());
            try (ServerContext server = transport.plainServer(owner);
                    StreamingHttpClient client = transport.backendClient(LOOPBACK, port(server))) {
                sendCalls(client, clock, start + TIME_LIMIT.toNanos());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            Logger.warn(
                    "a warm-up call failed, or a server or client could not be started or closed: {}", e.toString());
        }
        Logger.info("the warm-up took {} ms", (clock.nanoTime() - start) / 1_000_000);
    }

    private static void sendCalls(StreamingHttpClient client, Clock clock, long end)
            throws ExecutionException, InterruptedException, TimeoutException {
        for (int i = 0; i < CALLS / CONCURRENT_CALLS && clock.nanoTime() < end; i++) {
            Completable[] calls = new Completable[CONCURRENT_CALLS];
            for (int c = 0; c < CONCURRENT_CALLS; c++) {
                StreamingHttpRequest request = client.get("/");
                request.headers()
                        .set("host", LOOPBACK)
                        .set(HeaderNames.BACKEND, WARM_UP_NAME)
                        .set(HeaderNames.SERVICE, WARM_UP_NAME)
                        .set(HeaderNames.DEADLINE, Long.toString(TIME_LIMIT.toMillis()));
                calls[c] = client.request(request)
                        .flatMapCompletable(r -> r.messageBody().ignoreElements());
            }
            Completable.completed().merge(calls).toFuture().get(TIME_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private static int port(ServerContext server) {
        return ((InetSocketAddress) server.listenAddress()).getPort();
    }
}
