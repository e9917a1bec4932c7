package io.fuchsiastand.daemon.admin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.owner.BackendController;
import io.fuchsiastand.daemon.owner.LocalBackend;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.key.KeyBucket;
import io.fuchsiastand.key.TeamKey;
import io.servicetalk.http.api.BlockingHttpService;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;

/**
 * Serves the admin port and, if the settings have one, the port for readiness checks. Any client may read health, metrics,
 * status, explanations, and the configuration in force without key digests. Announcements, drains and removals of backend
 * servers are accepted only from clients on this host. The withdrawal of a key needs the operators' credential.
 */
public final class AdminService implements BlockingHttpService {

    private static final String BACKENDS = "/v1/backends";
    private static final String WITHDRAWN = "/v1/withdrawn/";
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final int MAX_BODY_BYTES = 16_384;
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_TTL_SECONDS = 3_600;
    private static final int DIGEST_LENGTH = 43;

    private final Blackboard board;
    private final BackendController backends;
    private final Metrics metrics;
    private final Supplier<FleetStatus> status;

    /**
     * Creates the service.
     *
     * @param board the blackboard
     * @param backends the backend servers of this host
     * @param metrics the metrics of this daemon
     * @param status returns the status of the fleet as this daemon sees it
     */
    public AdminService(Blackboard board, BackendController backends, Metrics metrics, Supplier<FleetStatus> status) {
        this.board = board;
        this.backends = backends;
        this.metrics = metrics;
        this.status = status;
    }

    private record Response(HttpResponseStatus status, String mediaType, byte[] body) {

        private static Response text(HttpResponseStatus status, String text) {
            return new Response(status, TEXT, (text + '\n').getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    public HttpResponse handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        Response r =
                request.method().equals(HttpRequestMethod.GET) ? handleGet(request) : handleCommand(context, request);
        return factory.newResponse(r.status())
                .payloadBody(context.executionContext().bufferAllocator().wrap(r.body()))
                .setHeader("content-type", r.mediaType());
    }

    private Response handleGet(HttpRequest request) {
        boolean ready = board.lifecycle().get() == Lifecycle.READY;
        return switch (request.path()) {
            case "/healthz" -> Response.text(HttpResponseStatus.OK, "alive");
            case "/readyz", "/ready" ->
                Response.text(
                        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        board.lifecycle().get().name());
            case "/metrics" -> Response.text(HttpResponseStatus.OK, metrics.scrape());
            case "/status" -> new Response(HttpResponseStatus.OK, JSON, Json.write(status.get()));
            case "/configuration" ->
                new Response(HttpResponseStatus.OK, JSON, Json.write(ActiveSurroundings.of(board)));
            case "/explain" -> explain(request);
            default -> Response.text(HttpResponseStatus.NOT_FOUND, "no such path");
        };
    }

    private Response explain(HttpRequest request) {
        try {
            CallExplanation.Query q = new CallExplanation.Query(
                    queryOf(request, "host"),
                    queryOf(request, "path"),
                    queryOf(request, "team"),
                    HeaderNames.parseLong(request.queryParameter("body"), 0));
            return CallExplanation.of(board, backends.all(), q)
                    .map(e -> new Response(HttpResponseStatus.OK, JSON, Json.write(e)))
                    .orElseGet(() -> Response.text(HttpResponseStatus.NOT_FOUND, "no route matches"));
        } catch (FuchsiastandException e) {
            return Response.text(HttpResponseStatus.BAD_REQUEST, e.getMessage());
        }
    }

    private static String queryOf(HttpRequest request, String name) {
        String value = request.queryParameter(name);
        return value == null ? "" : value;
    }

    private Response handleCommand(HttpServiceContext context, HttpRequest request) {
        String path = request.path();
        if (path.startsWith(WITHDRAWN)) {
            return isOperator(request)
                    ? withdrawKey(path.substring(WITHDRAWN.length()))
                    : Response.text(HttpResponseStatus.UNAUTHORIZED, "the operators' credential is missing or wrong");
        }
        if (!path.startsWith(BACKENDS)) {
            return Response.text(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        if (!isLocal(context)) {
            return Response.text(
                    HttpResponseStatus.FORBIDDEN, "requests to /v1/backends are accepted only from this host");
        }
        if (path.equals(BACKENDS) && request.method().equals(HttpRequestMethod.POST)) {
            return announce(request);
        }
        return drainOrRemove(request, path.substring(Math.min(path.length(), BACKENDS.length() + 1)));
    }

    private Response drainOrRemove(HttpRequest request, String idAndAction) {
        boolean drain = idAndAction.endsWith("/drain");
        String id = drain ? idAndAction.substring(0, idAndAction.length() - "/drain".length()) : idAndAction;
        boolean found;
        if (drain && request.method().equals(HttpRequestMethod.POST)) {
            found = backends.drain(id);
        } else if (!drain && request.method().equals(HttpRequestMethod.DELETE)) {
            found = backends.unregister(id);
        } else {
            return Response.text(HttpResponseStatus.METHOD_NOT_ALLOWED, "use POST .../drain or DELETE");
        }
        return found
                ? Response.text(HttpResponseStatus.OK, "done")
                : Response.text(HttpResponseStatus.NOT_FOUND, "no backend server '" + id + "' on this host");
    }

    private Response announce(HttpRequest request) {
        byte[] body = new byte[request.payloadBody().readableBytes()];
        if (body.length > MAX_BODY_BYTES) {
            return Response.text(
                    HttpResponseStatus.PAYLOAD_TOO_LARGE, "an announcement must not be larger than 16384 bytes");
        }
        request.payloadBody().readBytes(body);
        LocalBackend.Announcement a;
        try {
            a = Json.read(body, LocalBackend.Announcement.class);
        } catch (FuchsiastandException e) {
            return Response.text(HttpResponseStatus.BAD_REQUEST, "the announcement is not valid JSON");
        }
        String problem = validate(a);
        if (!problem.isEmpty()) {
            return Response.text(HttpResponseStatus.BAD_REQUEST, problem);
        }
        backends.announce(a);
        return Response.text(HttpResponseStatus.OK, "announced");
    }

    private static String validate(LocalBackend.Announcement a) {
        if (a.id() == null || !a.id().matches("[A-Za-z0-9_.:-]{1,63}")) {
            return "id must have 1 to 63 characters, each a letter, a digit or one of _ . : -";
        }
        if (a.service() == null
                || a.service().isEmpty()
                || a.address() == null
                || a.address().isEmpty()) {
            return "service and address must be given";
        }
        if (a.port() < 1 || a.port() > 65_535 || a.slots() < 1 || a.slots() > MAX_SLOTS) {
            return "port must be 1 to 65535 and slots 1 to " + MAX_SLOTS;
        }
        return a.ttlSeconds() < 1 || a.ttlSeconds() > MAX_TTL_SECONDS
                ? "ttlSeconds must be 1 to " + MAX_TTL_SECONDS
                : "";
    }

    // The withdrawal is stored as a record, which spreads by gossip. A relay writes the withdrawal to the key's bucket
    // on the platform as soon as the platform is available, unless the bucket has no key with this digest. Daemons that
    // have a configuration source never write withdrawals to the platform. The response is the same if no key has this
    // digest.
    private Response withdrawKey(String digest) {
        if (digest.length() != DIGEST_LENGTH || !digest.matches("[A-Za-z0-9_-]+")) {
            return Response.text(HttpResponseStatus.BAD_REQUEST, "a key digest must have 43 base64url characters");
        }
        board.putRecord(KeyBucket.WITHDRAWAL_PREFIX + digest, 1, new byte[0]);
        return Response.text(HttpResponseStatus.OK, "withdrawn");
    }

    private boolean isOperator(HttpRequest request) {
        return TeamKey.digestFromHeader(request.headers().get(HeaderNames.AUTHORIZATION))
                .filter(d -> board.settings()
                        .operatorDigest()
                        .filter(o -> Digests.isEqual(o, d))
                        .isPresent())
                .isPresent();
    }

    private boolean isLocal(HttpServiceContext context) {
        InetAddress client = ((InetSocketAddress) context.remoteAddress()).getAddress();
        return client.isLoopbackAddress()
                || client.getHostAddress().equals(board.settings().address());
    }
}
