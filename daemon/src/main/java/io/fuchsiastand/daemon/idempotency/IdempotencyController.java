package io.fuchsiastand.daemon.idempotency;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import com.google.protobuf.ByteString;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.idempotency.CallState;
import io.fuchsiastand.idempotency.IdempotencyLog;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.RememberedKey;
import io.fuchsiastand.protocol.TrackPhase;
import io.fuchsiastand.protocol.TrackReply;
import io.fuchsiastand.protocol.TrackRequest;
import io.fuchsiastand.protocol.TrackResult;
import io.fuchsiastand.protocol.TransferReply;
import io.fuchsiastand.protocol.TransferRequest;

/**
 * Prevents calls with an idempotency key from running twice. The holder of the team's shard decides whether a call may
 * run. It allows a call only while it may use both halves of the shard, only after its standby, if there is one, has
 * recorded the key too, and only if its own log or that of the standby contains every key of the last 10 minutes
 * ({@code IdempotencyLog.WINDOW}). Reads the shard table; only this class uses the idempotency logs.
 */
public final class IdempotencyController {

    /** Time between two checks for partners that have not received the keys. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(500);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(5);
    private static final int HALVES = 2;

    private final Blackboard board;
    private final Peers peers;
    private final LimitController limits;
    private final Map<Integer, IdempotencyLog> logs = new ConcurrentHashMap<>();
    // For each shard, the partner process to which this daemon has transferred the keys.
    private final Map<Integer, PartnerProcess> transferredTo = new ConcurrentHashMap<>();

    /** A process of a partner, identified by its host and its start. */
    private record PartnerProcess(String host, long start) {}

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param limits the leases of this daemon
     */
    public IdempotencyController(Blackboard board, Peers peers, LimitController limits) {
        this.board = board;
        this.peers = peers;
        this.limits = limits;
    }

    /**
     * Sends a message about a call to the holder of its shard, which may be this daemon: that the call begins, has
     * ended, certainly did not run, or may have run.
     *
     * @param request the message
     * @return the result from the holder; {@link TrackResult#UNAVAILABLE} if the holder is unknown or cannot be
     *     reached
     */
    public CompletionStage<TrackResult> track(TrackRequest request) {
        ShardEntry entry = limits.entry(request.getShard()).orElse(null);
        if (entry == null) {
            return CompletableFuture.completedFuture(TrackResult.UNAVAILABLE);
        }
        if (entry.holder().equals(board.settings().host())) {
            return onTrack(request).thenApply(TrackReply::getResult);
        }
        return send(entry.holder(), request).thenApply(TrackReply::getResult);
    }

    /** Transfers the keys of each shard to the partner, if the process of the partner has not received them yet. */
    public void tick() {
        limits.shards().forEach((number, shard) -> {
            ShardEntry entry;
            long partnerStart;
            synchronized (shard) {
                entry = shard.leases().entry();
                partnerStart = shard.leases().partnerStart();
            }
            if (!entry.includes(board.settings().host())) {
                return;
            }
            IdempotencyLog log = logOf(number);
            String partner = entry.partnerOf(board.settings().host());
            PartnerProcess p = new PartnerProcess(partner, partnerStart);
            if (partnerStart != 0 && !p.equals(transferredTo.get(number))) {
                transfer(number, log, p);
            }
        });
    }

    /**
     * Returns whether, for each shard whose entry names this daemon, the partner, if there is one, has received the keys.
     *
     * @return true if no transfer is outstanding
     */
    public boolean isTransferComplete() {
        return limits.shards().entrySet().stream().allMatch(e -> {
            ShardEntry entry = e.getValue().leases().entry();
            long start = e.getValue().leases().partnerStart();
            String partner = entry.partnerOf(board.settings().host());
            return !entry.includes(board.settings().host())
                    || partner.isEmpty()
                    || new PartnerProcess(partner, start).equals(transferredTo.get(e.getKey()));
        });
    }

    /**
     * Adds the keys that a partner transfers.
     *
     * @param request the keys and how long the log of the partner has been complete
     */
    public void onTransfer(TransferRequest request) {
        IdempotencyLog log = logOf(request.getShard());
        List<IdempotencyLog.LoggedKey> keys = request.getKeysList().stream()
                .map(k -> new IdempotencyLog.LoggedKey(
                        k.getKeyDigest().toStringUtf8(),
                        k.getTeam(),
                        CallState.valueOf(k.getState().name()),
                        k.getAttempt(),
                        Duration.ofMillis(k.getAgeMillis())))
                .toList();
        synchronized (log) {
            log.merge(
                    keys,
                    Duration.ofMillis(request.getCompleteMillis()),
                    board.clock().nanoTime());
        }
    }

    /**
     * Applies a message about a call and answers it. The message comes from an ingress daemon, or it is a copy that the
     * holder of the shard sent to this daemon as the standby.
     *
     * @param request the message
     * @return the reply
     */
    public CompletionStage<TrackReply> onTrack(TrackRequest request) {
        TrackResult ownResult = apply(request);
        boolean complete = isComplete(request.getShard());
        TrackPhase copyPhase = copyPhaseOf(request.getPhase());
        if (copyPhase == null) {
            return reply(ownResult, complete);
        }
        ShardEntry entry = limits.entry(request.getShard()).orElse(null);
        if (entry == null || !mayAllowCalls(entry)) {
            return reply(undoBegin(request, ownResult), complete);
        }
        if (request.getPhase() == TrackPhase.BEGIN && ownResult != TrackResult.STARTED) {
            return reply(ownResult, complete);
        }
        if (entry.standby().isEmpty()) {
            return reply(confirmBegin(request, entry, complete), complete);
        }
        TrackRequest toStandby =
                request.toBuilder().setPhase(copyPhase).setEpoch(entry.epoch()).build();
        return send(entry.standby(), toStandby).thenCompose(r -> {
            boolean eitherLogComplete = complete || r.getComplete();
            TrackResult result = r.getResult() == TrackResult.STARTED
                    ? confirmBegin(request, entry, eitherLogComplete)
                    : undoBegin(request, r.getResult());
            return reply(result, eitherLogComplete);
        });
    }

    private TrackResult apply(TrackRequest r) {
        long now = board.clock().nanoTime();
        String digest = r.getKeyDigest().toStringUtf8();
        IdempotencyLog log = logOf(r.getShard());
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
                case END, COPY_END -> log.end(digest, r.getAttempt(), CallState.RAN);
                case LOSE, COPY_LOSE -> log.end(digest, r.getAttempt(), CallState.UNKNOWN);
                default -> log.cancel(digest, r.getAttempt());
            }
            return TrackResult.STARTED;
        }
    }

    private IdempotencyLog logOf(int shard) {
        return logs.computeIfAbsent(shard, k -> {
            IdempotencyLog log = new IdempotencyLog(board.clock().nanoTime());
            // A process of which an incarnation is among the founders has been holder or standby since the shard was
            // created, so it has received every key of the shard.
            if (limits.entry(shard)
                    .filter(r -> r.founders().stream().anyMatch(board.members()::hasHadIncarnation))
                    .isPresent()) {
                log.markComplete();
            }
            return log;
        });
    }

    private boolean isComplete(int shard) {
        IdempotencyLog log = logOf(shard);
        synchronized (log) {
            return log.coversWindow(board.clock().nanoTime());
        }
    }

    private void transfer(int number, IdempotencyLog log, PartnerProcess to) {
        Optional<Member> m = board.members().find(to.host()).filter(Member::isReachable);
        if (m.isEmpty()) {
            return;
        }
        long now = board.clock().nanoTime();
        TransferRequest.Builder b =
                TransferRequest.newBuilder().setFrom(board.settings().host()).setShard(number);
        synchronized (log) {
            b.setCompleteMillis(log.coveredTime(now).toMillis());
            for (IdempotencyLog.LoggedKey r : log.loggedKeys(now)) {
                b.addKeys(RememberedKey.newBuilder()
                        .setKeyDigest(ByteString.copyFromUtf8(r.digest()))
                        .setTeam(r.team())
                        .setState(TrackResult.valueOf(r.state().name()))
                        .setAttempt(r.attempt())
                        .setAgeMillis(r.age().toMillis()));
            }
        }
        TransferRequest request = b.build();
        peers.<TransferReply>call(m.get(), TRANSFER_TIMEOUT, (stub, o) -> stub.transfer(request, o))
                .thenAccept(r -> transferredTo.put(number, to));
    }

    // While this daemon may use both halves, no other daemon can allow calls of this shard.
    private boolean mayAllowCalls(ShardEntry entry) {
        return entry.holder().equals(board.settings().host())
                && limits.usableHalves(entry.shard()).count() == HALVES;
    }

    // The leases may have expired during the wait for the standby, so they are checked again. If neither log contains
    // every key of the window, a call whose key is in neither of them may still have run.
    private TrackResult confirmBegin(TrackRequest request, ShardEntry entry, boolean eitherLogComplete) {
        if (request.getPhase() != TrackPhase.BEGIN) {
            return TrackResult.STARTED;
        }
        if (!mayAllowCalls(entry)) {
            return undoBegin(request, TrackResult.STARTED);
        }
        return eitherLogComplete ? TrackResult.STARTED : undoBegin(request, TrackResult.UNKNOWN);
    }

    // Removes the key again if the message begins a call. For every message, the result STARTED becomes UNAVAILABLE;
    // other results stay.
    private TrackResult undoBegin(TrackRequest request, TrackResult result) {
        if (request.getPhase() == TrackPhase.BEGIN) {
            apply(request.toBuilder().setPhase(TrackPhase.CANCEL).build());
        }
        return result == TrackResult.STARTED ? TrackResult.UNAVAILABLE : result;
    }

    // Returns the phase of the copy that the holder sends to the standby, or null if the message is itself such a copy.
    private static TrackPhase copyPhaseOf(TrackPhase phase) {
        return switch (phase) {
            case BEGIN -> TrackPhase.COPY_BEGIN;
            case END -> TrackPhase.COPY_END;
            case CANCEL -> TrackPhase.COPY_CANCEL;
            case LOSE -> TrackPhase.COPY_LOSE;
            default -> null;
        };
    }

    private CompletionStage<TrackReply> send(String host, TrackRequest request) {
        Optional<Member> m = board.members().find(host).filter(Member::isReachable);
        if (m.isEmpty()) {
            return reply(TrackResult.UNAVAILABLE, false);
        }
        return peers.<TrackReply>call(m.get(), CALL_TIMEOUT, (stub, o) -> stub.track(request, o))
                .exceptionally(e -> TrackReply.newBuilder()
                        .setResult(TrackResult.UNAVAILABLE)
                        .build());
    }

    private static CompletionStage<TrackReply> reply(TrackResult result, boolean complete) {
        return CompletableFuture.completedFuture(
                TrackReply.newBuilder().setResult(result).setComplete(complete).build());
    }
}
