package io.fuchsiastand.daemon;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.fuchsiastand.idempotency.KeyLog;
import io.fuchsiastand.idempotency.KeyRecord;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.TrackPhase;
import io.fuchsiastand.protocol.TrackReply;
import io.fuchsiastand.protocol.TrackRequest;
import io.fuchsiastand.protocol.TrackResult;

/**
 * Keeps calls with an idempotency key from running twice. The holder of the team's shard decides, with both halves of
 * the shard in its hands, and only after its standby has a copy. Reads the shard table, alone owns the key logs.
 */
public final class IdempotencyController {

    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int HALVES = 2;

    private final Blackboard board;
    private final Peers peers;
    private final LimitController limits;
    private final Map<Integer, KeyLog> logs = new ConcurrentHashMap<>();

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param limits the rights of this daemon
     */
    public IdempotencyController(Blackboard board, Peers peers, LimitController limits) {
        this.board = board;
        this.peers = peers;
        this.limits = limits;
    }

    /**
     * Begins, ends or cancels a call at the holder of its shard, wherever that is.
     *
     * @param request the call
     * @return what the holder says; {@link TrackResult#UNAVAILABLE} if it cannot be reached
     */
    public CompletionStage<TrackResult> track(TrackRequest request) {
        ShardEntry row = limits.row(request.getShard()).orElse(null);
        if (row == null) {
            return CompletableFuture.completedFuture(TrackResult.UNAVAILABLE);
        }
        if (row.holder().equals(board.settings().host())) {
            return onTrack(request).thenApply(TrackReply::getResult);
        }
        return send(row.holder(), request);
    }

    /**
     * Answers an ingress daemon or the holder of a shard.
     *
     * @param request the message
     * @return the answer
     */
    public CompletionStage<TrackReply> onTrack(TrackRequest request) {
        TrackResult own = apply(request);
        TrackPhase copy = copyOf(request.getPhase());
        if (copy == null) {
            return reply(own);
        }
        ShardEntry row = limits.row(request.getShard()).orElse(null);
        if (row == null || !isInCharge(row)) {
            return reply(undo(request, own));
        }
        if (row.standby().isEmpty() || (request.getPhase() == TrackPhase.BEGIN && own != TrackResult.STARTED)) {
            return reply(row.standby().isEmpty() ? alone(request, own) : own);
        }
        TrackRequest toStandby =
                request.toBuilder().setPhase(copy).setEpoch(row.epoch()).build();
        return send(row.standby(), toStandby)
                .thenCompose(r -> reply(r == TrackResult.STARTED ? confirm(request, row) : undo(request, r)));
    }

    private TrackResult apply(TrackRequest r) {
        long now = board.clock().nanoTime();
        String digest = r.getKeyDigest().toStringUtf8();
        KeyLog log = logs.computeIfAbsent(r.getShard(), k -> new KeyLog(now));
        synchronized (log) {
            switch (r.getPhase()) {
                case BEGIN, COPY_BEGIN -> {
                    return switch (log.begin(digest, r.getTeam(), r.getAttempt(), now)) {
                        case STARTED -> TrackResult.STARTED;
                        case RUNNING -> TrackResult.RUNNING;
                        case RAN -> TrackResult.RAN;
                        case UNKNOWN -> TrackResult.UNKNOWN;
                        case FULL -> TrackResult.UNAVAILABLE;
                    };
                }
                case END, COPY_END -> log.end(digest, r.getAttempt(), KeyRecord.RAN);
                case LOSE, COPY_LOSE -> log.end(digest, r.getAttempt(), KeyRecord.UNKNOWN);
                default -> log.cancel(digest, r.getAttempt());
            }
            return TrackResult.STARTED;
        }
    }

    // Both halves at one daemon mean that no other daemon can start calls of this shard.
    private boolean isInCharge(ShardEntry row) {
        return row.holder().equals(board.settings().host())
                && limits.share(row.shard()).halves() == HALVES;
    }

    // The fence is checked again after the wait for the standby.
    private TrackResult confirm(TrackRequest request, ShardEntry row) {
        if (request.getPhase() == TrackPhase.BEGIN && !isInCharge(row)) {
            return undo(request, TrackResult.STARTED);
        }
        return TrackResult.STARTED;
    }

    private TrackResult alone(TrackRequest request, TrackResult own) {
        return request.getPhase() == TrackPhase.BEGIN && own == TrackResult.STARTED
                ? confirm(request, limits.row(request.getShard()).orElseThrow())
                : own;
    }

    private TrackResult undo(TrackRequest request, TrackResult seen) {
        if (request.getPhase() == TrackPhase.BEGIN) {
            apply(request.toBuilder().setPhase(TrackPhase.CANCEL).build());
        }
        return seen == TrackResult.STARTED ? TrackResult.UNAVAILABLE : seen;
    }

    private static TrackPhase copyOf(TrackPhase phase) {
        return switch (phase) {
            case BEGIN -> TrackPhase.COPY_BEGIN;
            case END -> TrackPhase.COPY_END;
            case CANCEL -> TrackPhase.COPY_CANCEL;
            case LOSE -> TrackPhase.COPY_LOSE;
            default -> null;
        };
    }

    private CompletionStage<TrackResult> send(String host, TrackRequest request) {
        Optional<Member> m = board.members().find(host).filter(Member::isReachable);
        if (m.isEmpty()) {
            return CompletableFuture.completedFuture(TrackResult.UNAVAILABLE);
        }
        return peers.<TrackReply>call(m.get(), TIMEOUT, (stub, o) -> stub.track(request, o))
                .handle((r, e) -> e == null ? r.getResult() : TrackResult.UNAVAILABLE);
    }

    private static CompletionStage<TrackReply> reply(TrackResult result) {
        return CompletableFuture.completedFuture(
                TrackReply.newBuilder().setResult(result).build());
    }
}
