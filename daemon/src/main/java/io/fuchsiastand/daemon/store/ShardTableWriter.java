package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.limit.ShardLeases;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.store.ConditionalWrite;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.StoredObject;
import org.tinylog.Logger;

/**
 * Changes the shard table in the platform by conditional updates: creates it for a new fleet, replaces partners that
 * are silent, adds standbys to shards that have only one daemon, and records that no lease of an earlier epoch is left.
 * Runs on the thread of {@link PlatformController#writeLoop} and may block. A claim to which the platform gave no answer
 * is sent again with the same change id until it is known whether it took effect.
 */
public final class ShardTableWriter {

    private static final int CONFIRMATIONS_PER_TERM = 6;
    private static final int MAX_SHARDS_PER_TICK = 32;

    private final Blackboard board;
    private final LimitController limits;
    private final ObjectStore store;
    private final Map<Integer, Claim> unansweredClaims = new HashMap<>();

    private final ShardTakeover takeover;

    private record Claim(ShardEntry entry, ConditionalWrite change) {}

    /**
     * Creates the writer.
     *
     * @param board the blackboard
     * @param limits the leases of this daemon on shards
     * @param store the object store of the platform
     */
    public ShardTableWriter(Blackboard board, LimitController limits, ObjectStore store) {
        takeover = new ShardTakeover(board, limits, store);
        this.board = board;
        this.limits = limits;
        this.store = store;
    }

    /** Creates the missing entries of the shard table, if rendezvous hashing selects this daemon to do so. */
    public void createMissingEntries() {
        List<Member> order =
                Membership.rendezvousOrder("bootstrap", board.members().reachable());
        boolean selected =
                !order.isEmpty() && order.get(0).host().equals(board.settings().host());
        if (!selected) {
            return;
        }
        int count = limits.shardCount();
        if (count == 0) {
            count = createShardCount();
        }
        for (int i = 0; i < count; i++) {
            if (limits.entry(i).isEmpty()) {
                createEntry(i);
            }
        }
    }

    /**
     * Works on the takeovers for which this daemon is responsible. Then writes or reads the entries of those shards of
     * this daemon that need it, of at most {@code MAX_SHARDS_PER_TICK} shards.
     */
    public void tick() {
        takeover.tick();
        int remaining = MAX_SHARDS_PER_TICK;
        for (Map.Entry<Integer, LimitController.LocalShard> e : limits.shards().entrySet()) {
            if (remaining == 0) {
                return;
            }
            if (handleShard(e.getKey(), e.getValue())) {
                remaining--;
            }
        }
    }

    // Returns whether the platform was called.
    private boolean handleShard(int number, LimitController.LocalShard shard) {
        Claim unanswered = unansweredClaims.get(number);
        if (unanswered != null) {
            tryWrite(number, shard, unanswered);
            return true;
        }
        ShardLeases leases = shard.leases();
        long now = board.clock().nanoTime();
        ShardEntry entry;
        synchronized (shard) {
            String standby = chooseStandby(leases.entry()).orElse("");
            boolean addStandby = leases.isSole() && !standby.isEmpty();
            if (!leases.isClaimDue(now) && !addStandby && !leases.canClearPending(now)) {
                return confirmEpochIfDue(number, shard);
            }
            entry = leases.beginClaim(standby, now);
            shard.setClaimedEntry(entry);
        }
        long expected = board.records()
                .get(ShardEntry.name(number))
                .map(r -> r.getVersion())
                .orElse(0L);
        Claim claim = new Claim(
                entry,
                new ConditionalWrite(
                        entry.name(),
                        Json.write(entry),
                        expected,
                        UUID.randomUUID().toString()));
        unansweredClaims.put(number, claim);
        tryWrite(number, shard, claim);
        return true;
    }

    // Renews the platform's confirmation of the epoch long before the leases that depend on it expire.
    private boolean confirmEpochIfDue(int number, LimitController.LocalShard shard) {
        long age = board.clock().nanoTime() - shard.leases().confirmedAt();
        Duration period = board.settings().leaseTerms().platformTerm().dividedBy(CONFIRMATIONS_PER_TERM);
        if (!shard.leases().entry().includes(board.settings().host())) {
            return false;
        }
        if (shard.leases().isVerified() && age < period.toNanos()) {
            return false;
        }
        readEntry(number);
        return true;
    }

    private void tryWrite(int number, LimitController.LocalShard shard, Claim claim) {
        try {
            long version = claim.change().apply(store);
            synchronized (shard) {
                endClaim(number, shard);
                shard.leases().completeClaim(claim.entry(), board.clock().nanoTime());
            }
            board.putRecord(claim.entry().name(), version, claim.change().value());
            Logger.info(
                    "shard {} is in epoch {} with {} and {}",
                    number,
                    claim.entry().epoch(),
                    claim.entry().holder(),
                    claim.entry().standby().isEmpty()
                            ? "no standby"
                            : claim.entry().standby());
        } catch (FuchsiastandException e) {
            if (e.code() == ErrorCode.CONFLICT || e.code() == ErrorCode.UNRESOLVED) {
                endClaim(number, shard);
                Optional<ShardEntry> current = readEntry(number);
                synchronized (shard) {
                    if (current.isPresent()
                            && current.get().epoch() < claim.entry().epoch()) {
                        shard.leases().recordRejectedClaim(board.clock().nanoTime());
                    }
                }
            } else if (e.code() != ErrorCode.PLATFORM_UNAVAILABLE) {
                endClaim(number, shard);
                throw e;
            }
        }
    }

    private void endClaim(int number, LimitController.LocalShard shard) {
        unansweredClaims.remove(number);
        synchronized (shard) {
            shard.setClaimedEntry(null);
        }
    }

    private Optional<ShardEntry> readEntry(int number) {
        long requestedAt = board.clock().nanoTime();
        Optional<StoredObject> found = store.get(ShardEntry.name(number));
        found.ifPresent(o -> {
            board.putRecord(o.name(), o.version(), o.value());
            limits.applyPlatformEntry(Json.read(o.value(), ShardEntry.class), requestedAt);
        });
        return found.map(o -> Json.read(o.value(), ShardEntry.class));
    }

    private int createShardCount() {
        int count = board.settings().shards();
        byte[] value = Json.write(new LimitController.ShardCount(count));
        createObject(LimitController.SHARD_COUNT_NAME, value);
        return limits.shardCount();
    }

    private void createEntry(int shard) {
        List<Member> order =
                Membership.rendezvousOrder("shard/" + shard, board.members().reachable());
        Member holder = order.get(0);
        Optional<Member> standby = standbyFor(holder, order);
        List<Long> founders = Stream.concat(Stream.of(holder), standby.stream())
                .map(Member::incarnation)
                .toList();
        createObject(
                ShardEntry.name(shard),
                Json.write(new ShardEntry(
                        shard,
                        1,
                        holder.host(),
                        standby.map(Member::host).orElse(""),
                        false,
                        List.of(),
                        List.of(),
                        founders)));
    }

    private void createObject(String name, byte[] value) {
        try {
            long version = store.put(
                    name, value, StoredObject.ABSENT, UUID.randomUUID().toString());
            board.putRecord(name, version, value);
        } catch (FuchsiastandException e) {
            if (e.code() != ErrorCode.CONFLICT && e.code() != ErrorCode.UNRESOLVED) {
                throw e;
            }
            store.get(name).ifPresent(o -> board.putRecord(o.name(), o.version(), o.value()));
        }
    }

    // Chooses the standby that a claim names: an alive daemon other than this one and its present partner, in another
    // data centre if possible, and of these the one with the fewest shards.
    private Optional<String> chooseStandby(ShardEntry entry) {
        Map<String, Integer> shardsPerHost = new HashMap<>();
        limits.entries().forEach(e -> e.hosts().forEach(h -> shardsPerHost.merge(h, 1, Integer::sum)));
        List<Member> order = Membership.rendezvousOrder(
                        "shard/" + entry.shard(), board.members().reachable())
                .stream()
                .filter(m -> m.state() == MemberState.ALIVE)
                .filter(m -> !m.host().equals(entry.partnerOf(board.settings().host())))
                .sorted((a, b) -> Integer.compare(
                        shardsPerHost.getOrDefault(a.host(), 0), shardsPerHost.getOrDefault(b.host(), 0)))
                .toList();
        return standbyFor(board.members().self(), order).map(Member::host);
    }

    private static Optional<Member> standbyFor(Member holder, List<Member> order) {
        List<Member> others =
                order.stream().filter(m -> !m.host().equals(holder.host())).toList();
        return others.stream()
                .filter(m -> !m.dataCentre().equals(holder.dataCentre()))
                .findFirst()
                .or(() -> others.stream().findFirst());
    }
}
