package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.limit.TakeoverEntries;
import io.fuchsiastand.limit.TakeoverProgress;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.store.ConditionalWrite;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.StoredObject;
import org.tinylog.Logger;

/**
 * Takes over shards whose holder has been unreachable for {@link #MIN_UNREACHABLE_TIME}. By then a reachable standby has
 * normally claimed the shard. A takeover starts with an entry that lists the hosts that may still hold leases. A daemon
 * that has applied this entry grants no requests on the shard; others may still do so under leases of earlier epochs.
 * Therefore the entry that ends the takeover is written only when these hosts have surrendered their leases or an
 * operator has declared them gone, or when their leases have certainly expired. Runs on the thread of
 * {@link PlatformController#writeLoop}.
 */
final class ShardTakeover {

    /** Prefix of the names of the objects by which an operator declares that a host is gone for good. */
    static final String GONE_PREFIX = "gone/";

    private static final Duration MIN_UNREACHABLE_TIME = Duration.ofSeconds(30);

    private final Blackboard board;
    private final LimitController limits;
    private final ObjectStore store;
    private final Map<Integer, Long> holderUnreachableSince = new HashMap<>();
    private final Map<Integer, TakeoverProgress> takeovers = new HashMap<>();

    ShardTakeover(Blackboard board, LimitController limits, ObjectStore store) {
        this.board = board;
        this.limits = limits;
        this.store = store;
    }

    /** Starts, continues or ends the takeovers for which this daemon is responsible. */
    void tick() {
        for (ShardEntry entry : limits.entries()) {
            boolean isHolder = entry.holder().equals(board.settings().host());
            if (isHolder && !entry.unsettled().isEmpty()) {
                continueTakeover(entry);
            } else if (isHolderLost(entry) && isResponsible(entry.shard())) {
                writeEntry(
                        entry,
                        TakeoverEntries.startEntry(entry, board.settings().host()));
            }
        }
    }

    private boolean isHolderLost(ShardEntry entry) {
        boolean holderReachable = isReachable(entry.holder());
        if (holderReachable) {
            holderUnreachableSince.remove(entry.shard());
            return false;
        }
        long now = board.clock().nanoTime();
        long since = holderUnreachableSince.computeIfAbsent(entry.shard(), k -> now);
        return now - since >= MIN_UNREACHABLE_TIME.toNanos();
    }

    private boolean isReachable(String host) {
        return board.members().find(host).map(Member::isReachable).orElse(false);
    }

    private boolean isResponsible(int shard) {
        return Membership.rendezvousOrder("seize/" + shard, board.members().reachable())
                .get(0)
                .host()
                .equals(board.settings().host());
    }

    private void continueTakeover(ShardEntry entry) {
        TakeoverProgress p = takeovers.get(entry.shard());
        if (p == null || p.entry().epoch() != entry.epoch()) {
            p = new TakeoverProgress(
                    entry, board.settings().leaseTerms(), board.clock().nanoTime());
            takeovers.put(entry.shard(), p);
            Logger.warn("shard {} is taken over; rights may be left at {}", entry.shard(), entry.unsettled());
        }
        for (String host : entry.unsettled()) {
            if (p.isAwaiting(host)
                    && (isGone(host, entry)
                            || limits.requestSurrender(host, entry).join())) {
                p.recordSurrender(host, board.clock().nanoTime());
            }
        }
        if (p.isSettled(board.clock().nanoTime())) {
            endTakeover(entry);
        }
    }

    // Only a declaration that was made after the takeover began counts, because the host may have returned since an
    // earlier declaration.
    private boolean isGone(String host, ShardEntry entry) {
        long startVersion =
                board.records().get(entry.name()).map(Record::getVersion).orElse(Long.MAX_VALUE);
        boolean declared = board.records()
                .get(GONE_PREFIX + host)
                .filter(r -> r.getVersion() > startVersion)
                .isPresent();
        return declared && !isReachable(host);
    }

    private void endTakeover(ShardEntry entry) {
        long requestedAt = board.clock().nanoTime();
        ShardEntry next = TakeoverEntries.endEntry(entry);
        if (writeEntry(entry, next)) {
            limits.completeTakeover(next, requestedAt);
            takeovers.remove(entry.shard());
            Logger.info("shard {} was taken over in epoch {}", next.shard(), next.epoch());
        }
    }

    private boolean writeEntry(ShardEntry from, ShardEntry to) {
        long expected = board.records().get(from.name()).map(Record::getVersion).orElse(StoredObject.ABSENT);
        ConditionalWrite change = new ConditionalWrite(
                to.name(), Json.write(to), expected, UUID.randomUUID().toString());
        try {
            board.putRecord(to.name(), change.apply(store), change.value());
            return true;
        } catch (FuchsiastandException e) {
            if (e.code() != ErrorCode.CONFLICT) {
                throw e;
            }
            store.get(to.name()).ifPresent(o -> board.putRecord(o.name(), o.version(), o.value()));
            return false;
        }
    }
}
