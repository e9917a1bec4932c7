package io.fuchsiastand.daemon.edge;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.idempotency.IdempotencyController;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.protocol.TrackPhase;
import io.fuchsiastand.protocol.TrackRequest;
import io.fuchsiastand.protocol.TrackResult;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpResponse;

import static io.servicetalk.concurrent.api.Single.failed;
import static io.servicetalk.concurrent.api.Single.fromStage;

/**
 * Runs a non-idempotent request of a team with an idempotency key at most once, no matter through which daemons its caller
 * retries. Before the request is sent, the guard records the start of the call under its key at the holder of the team's
 * shard, and afterwards its end. Idempotent requests, requests on open routes and requests without a key are passed on
 * unchanged.
 */
public final class IdempotencyGuard {

    private static final int MAX_KEY_LENGTH = 256;

    private final IdempotencyController idempotency;
    private final LimitController limits;
    private final String host;
    private final Function<RoutedRequest, Single<StreamingHttpResponse>> next;

    /**
     * Creates the guard.
     *
     * @param idempotency records the start and the end of calls under their idempotency keys
     * @param limits finds the shard of a team
     * @param host the name of this host
     * @param next sends the request to a backend server
     */
    public IdempotencyGuard(
            IdempotencyController idempotency,
            LimitController limits,
            String host,
            Function<RoutedRequest, Single<StreamingHttpResponse>> next) {
        this.idempotency = idempotency;
        this.limits = limits;
        this.host = host;
        this.next = next;
    }

    /**
     * Sends a request. A non-idempotent request of a team that has an idempotency key is refused if a request with the same
     * team, service and key runs, has run or may have run. It is also refused if the holder of the shard cannot decide this,
     * or if the length of the key is invalid.
     *
     * @param routed the request with its route and its team
     * @return the response, or a {@link RefusalException}
     */
    public Single<StreamingHttpResponse> run(RoutedRequest routed) {
        CharSequence key = routed.request().headers().get(HeaderNames.IDEMPOTENCY_KEY);
        if (key == null || routed.team().isEmpty() || routed.isIdempotent()) {
            return next.apply(routed);
        }
        if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            return failed(RefusalException.notRun(
                    ErrorCode.BAD_REQUEST, "an idempotency key must have 1 to " + MAX_KEY_LENGTH + " characters"));
        }
        String service = routed.match().service().name();
        String digest = Digests.ofText(routed.team() + '\n' + service + '\n' + key);
        TrackRequest begin = TrackRequest.newBuilder()
                .setFrom(host)
                .setShard(limits.shardOf(routed.team()))
                .setTeam(routed.team())
                .setKeyDigest(ByteString.copyFromUtf8(digest))
                .setPhase(TrackPhase.BEGIN)
                .setAttempt(ThreadLocalRandom.current().nextLong())
                .build();
        return fromStage(idempotency.track(begin))
                .flatMap(r -> r == TrackResult.STARTED ? runStarted(routed, begin) : failed(toRefusal(r)));
    }

    private Single<StreamingHttpResponse> runStarted(RoutedRequest routed, TrackRequest begin) {
        return next.apply(routed)
                .beforeOnSuccess(r -> recordEnd(begin, phaseOf(r)))
                .beforeOnError(e -> recordEnd(
                        begin, e instanceof RefusalException x && x.isNotRun() ? TrackPhase.CANCEL : TrackPhase.LOSE))
                .beforeCancel(() -> recordEnd(begin, TrackPhase.LOSE));
    }

    private static TrackPhase phaseOf(StreamingHttpResponse r) {
        CharSequence state = r.headers().get(HeaderNames.RUN_STATE);
        if (state == null) {
            return TrackPhase.END;
        }
        return HeaderNames.NOT_RUN.contentEquals(state) ? TrackPhase.CANCEL : TrackPhase.LOSE;
    }

    private void recordEnd(TrackRequest begin, TrackPhase phase) {
        idempotency.track(begin.toBuilder().setPhase(phase).build());
    }

    private static RefusalException toRefusal(TrackResult r) {
        return switch (r) {
            case RUNNING ->
                RefusalException.mayHaveRun(ErrorCode.IDEMPOTENCY_RUNNING, ErrorCode.IDEMPOTENCY_RUNNING.title(), null);
            case RAN -> RefusalException.mayHaveRun(ErrorCode.IDEMPOTENCY_RAN, ErrorCode.IDEMPOTENCY_RAN.title(), null);
            case UNKNOWN ->
                RefusalException.mayHaveRun(ErrorCode.IDEMPOTENCY_UNKNOWN, ErrorCode.IDEMPOTENCY_UNKNOWN.title(), null);
            default ->
                RefusalException.notRun(
                        ErrorCode.IDEMPOTENCY_UNAVAILABLE, ErrorCode.IDEMPOTENCY_UNAVAILABLE.title(), 1000);
        };
    }
}
