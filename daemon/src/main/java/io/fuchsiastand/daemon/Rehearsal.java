package io.fuchsiastand.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.http.Transport;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.transport.api.ServerContext;
import org.tinylog.Logger;

/**
 * Runs two daemons of a deployment in this process for a few seconds, with prepared answers of the platform and prepared
 * requests. A build records the classes that this loads, so that a daemon does not have to load and verify them at its
 * start and with its first calls.
 *
 * <p>The directory holds {@code requests.json} and, for each path of the platform that is read, a file of that path with
 * the suffix {@code .json}. The platform acknowledges each write by repeating it.
 */
final class Rehearsal {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int ROUNDS = 60;
    private static final Duration PAUSE = Duration.ofMillis(40);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
    private static final int PORTS = 6;
    private static final int NOT_FOUND = 404;
    private static final int CREATED = 201;
    private static final int FIRST_ERROR = 400;

    private final Transport transport = new Transport(Optional.empty());
    private final Deployment deployment;
    private final Path directory;

    /** A prepared request, to a port of each daemon in each round, or after the last round. */
    private record Request(
            String port, String method, String path, Map<String, String> headers, String body, boolean last) {}

    Rehearsal(Deployment deployment, Path directory) {
        this.deployment = deployment;
        this.directory = directory;
    }

    /**
     * Runs the rehearsal.
     *
     * @param base the settings of both daemons, except for the names of their hosts, their ports and the platform
     * @return the number of requests that were answered with a status below 400
     */
    int run(Settings base) throws Exception {
        Request[] requests = Json.read(Files.readAllBytes(directory.resolve("requests.json")), Request[].class);
        try (ServerContext platform = transport.plainServer(this::answerAsPlatform);
                ServerContext backend = transport.plainServer(Rehearsal::answerAsBackend)) {
            List<Integer> free = FreePorts.find(2 * PORTS);
            Settings first = settings(base, base.host(), free.subList(0, PORTS), platform, free.get(PORTS + 2));
            Settings second =
                    settings(base, base.host() + "-peer", free.subList(PORTS, 2 * PORTS), platform, free.get(2));
            try (Daemon a = new Daemon(first, deployment);
                    Daemon b = new Daemon(second, deployment)) {
                int answered = play(requests, List.of(first, second), port(backend));
                b.drain();
                Logger.info("{} prepared requests were answered well", answered);
                return answered;
            }
        } finally {
            transport.close();
        }
    }

    private int play(Request[] requests, List<Settings> daemons, int backendPort) throws Exception {
        int answered = 0;
        for (int i = 0; i <= ROUNDS; i++) {
            boolean last = i == ROUNDS;
            for (Settings s : daemons) {
                for (Request r :
                        Stream.of(requests).filter(x -> x.last() == last).toList()) {
                    answered += send(r, s, backendPort) < FIRST_ERROR ? 1 : 0;
                }
            }
            Thread.sleep(PAUSE.toMillis());
        }
        return answered;
    }

    private int send(Request r, Settings s, int backendPort) throws InterruptedException {
        Settings.Ports p = s.ports();
        int port =
                switch (r.port()) {
                    case "callers" -> p.callers();
                    case "announcements" -> p.announcements();
                    case "ready" -> p.ready();
                    default -> p.admin();
                };
        String body = r.body().replace("BACKEND", Integer.toString(backendPort));
        try (StreamingHttpClient client = transport.backendClient(LOOPBACK, port)) {
            StreamingHttpRequest request = client.newRequest(
                    HttpRequestMethod.of(r.method(), HttpRequestMethod.Properties.NONE),
                    r.path().replace("HOST", s.host()));
            request.headers().set("host", LOOPBACK);
            r.headers().forEach((name, value) -> request.headers().set(name, value));
            if (!body.isEmpty()) {
                request.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(body)));
            }
            return client.request(request)
                    .flatMap(x -> x.messageBody()
                            .ignoreElements()
                            .concat(Single.succeeded(x.status().code())))
                    .toFuture()
                    .get(TIME_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw e;
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn("a prepared request failed: {}", e.toString());
            return FIRST_ERROR;
        } catch (Exception e) {
            throw new IllegalStateException("a client cannot be closed", e);
        }
    }

    private Single<StreamingHttpResponse> answerAsPlatform(
            HttpServiceContext c, StreamingHttpRequest r, StreamingHttpResponseFactory f) {
        if (!r.method().equals(HttpRequestMethod.GET)) {
            return r.toRequest().map(x -> f.newResponse(HttpResponseStatus.of(CREATED, ""))
                    .payloadBody(Publisher.from(x.payloadBody())));
        }
        try {
            Path file = directory.resolve(r.path().substring(1) + ".json");
            boolean found = Files.exists(file);
            Buffer body = BufferAllocators.DEFAULT_ALLOCATOR.wrap(
                    found ? Files.readAllBytes(file) : "{}".getBytes(StandardCharsets.US_ASCII));
            return c.executionContext()
                    .executor()
                    .timer(PAUSE)
                    .concat(Single.succeeded((found ? f.ok() : f.newResponse(HttpResponseStatus.of(NOT_FOUND, "")))
                            .payloadBody(Publisher.from(body))));
        } catch (IOException e) {
            return Single.failed(e);
        }
    }

    // Repeats the headers, since a backend server repeats the identifier of a call.
    private static Single<StreamingHttpResponse> answerAsBackend(
            HttpServiceContext c, StreamingHttpRequest r, StreamingHttpResponseFactory f) {
        StreamingHttpResponse out = f.ok().payloadBody(
                        Publisher.from(c.executionContext().bufferAllocator().fromAscii("rehearsal")));
        r.headers().forEach(h -> {
            if (h.getKey().toString().startsWith("x-")) {
                out.headers().set(h.getKey(), h.getValue());
            }
        });
        return r.messageBody().ignoreElements().concat(Single.succeeded(out));
    }

    private static Settings settings(
            Settings b, String host, List<Integer> ports, ServerContext platform, int peerOfOther) {
        return new Settings(
                host,
                b.dataCentre(),
                b.address(),
                new Settings.Ports(ports.get(0), ports.get(1), ports.get(2), ports.get(3), ports.get(4), ports.get(5)),
                new Settings.Endpoint(LOOPBACK, port(platform)),
                List.of(new Settings.Endpoint(LOOPBACK, peerOfOther)),
                b.tls(),
                b.operatorDigest(),
                b.shards(),
                b.leaseTerms(),
                b.keysStaleAfter(),
                b.maxInFlight(),
                b.accessLog(),
                b.service(),
                b.rules(),
                b.scheduling(),
                b.memory());
    }

    private static int port(ServerContext server) {
        return ((InetSocketAddress) server.listenAddress()).getPort();
    }
}
