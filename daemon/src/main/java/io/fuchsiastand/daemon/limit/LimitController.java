package io.fuchsiastand.daemon.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.store.ShardTableWriter;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.limit.Demand;
import io.fuchsiastand.limit.Grant;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.limit.ShardLeases;
import io.fuchsiastand.limit.ShardLedger;
import io.fuchsiastand.limit.UsableHalves;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.protocol.RenewBatch;
import io.fuchsiastand.protocol.RenewBatchReply;
import io.fuchsiastand.protocol.RenewReply;
import io.fuchsiastand.protocol.RenewRequest;
import io.fuchsiastand.protocol.SurrenderReply;
import io.fuchsiastand.protocol.SurrenderRequest;
import org.tinylog.Logger;

/**
 * Holds the leases of this daemon on shards and grants tokens under them. The controller receives the entries of the
 * shard table as records, from the platform, and in surrender requests of other daemons. Only this class uses the
 * ledgers. {@link ShardTableWriter} also changes the leases, when it claims a shard; it and {@code ShardTakeover} write
 * the shard table to the platform.
 */
public final class LimitController {

    /** Time between two ticks, and so between two renewals of a lease. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(300);
    /** Name of the object that stores the number of shards. */
    public static final String SHARD_COUNT_NAME = "shards/meta";

    private static final Duration RENEW_TIMEOUT = Duration.ofSeconds(2);

    private final Blackboard board;
    private final Peers peers;
    private final Map<Integer, LocalShard> shards = new ConcurrentHashMap<>();
    private final Map<Integer, ShardEntry> table = new ConcurrentHashMap<>();
    private volatile int shardCount;

    /**
     * The number of shards of a fleet.
     *
     * @param count the number, fixed when the shard table is created
     */
    public record ShardCount(int count) {}

    /**
     * The leases and the ledger of this daemon for one shard. Code that changes the leases or uses the ledger
     * synchronizes on this object.
     */
    public static final class LocalShard {
        private final ShardLeases leases;
        private final ShardLedger ledger = new ShardLedger();
        // The entry of a claim of this daemon whose outcome is not known yet.
        private ShardEntry claimedEntry;

        private LocalShard(ShardLeases leases) {
            this.leases = leases;
        }

        /**
         * Sets the entry that this daemon is writing to the shard table. A watch may deliver that entry before the answer to the
         * write; it is then left to the completion of the claim, because an entry that another process wrote would end the
         * leases.
         *
         * @param entry the entry, or null once the outcome of the write is known
         */
        public void setClaimedEntry(ShardEntry entry) {
            claimedEntry = entry;
        }

        private void applyEntry(ShardEntry entry, long now) {
            if (!entry.equals(claimedEntry)) {
                leases.applyEntry(entry, now);
            }
        }

        /**
         * Returns the leases of this daemon on the shard.
         *
         * @return the leases, which determine the halves that this daemon may use
         */
        public ShardLeases leases() {
            return leases;
        }
    }

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     */
    public LimitController(Blackboard board, Peers peers) {
        this.board = board;
        this.peers = peers;
    }

    /** Registers a listener for records, to receive the shard table. */
    public void start() {
        board.records().listen(this::onRecord);
    }

    /**
     * Returns the shard of a team.
     *
     * @param team the name of the team
     * @return the number of the shard, or -1 before this daemon has received the number of shards
     */
    public int shardOf(String team) {
        int n = shardCount;
        return n == 0 ? -1 : (int) Math.floorMod(Digests.hash64(team), (long) n);
    }

    /**
     * Returns the number of shards.
     *
     * @return the number, or 0 before this daemon has received it
     */
    public int shardCount() {
        return shardCount;
    }

    /**
     * Finds the entry of a shard in the shard table.
     *
     * @param shard the number of the shard
     * @return the entry with the highest epoch that this daemon has received, or empty if it has received none
     */
    public Optional<ShardEntry> entry(int shard) {
        return Optional.ofNullable(table.get(shard));
    }

    /**
     * Returns the entries of all shards in the shard table.
     *
     * @return for each shard, the entry with the highest epoch that this daemon has received
     */
    public Collection<ShardEntry> entries() {
        return table.values();
    }

    /**
     * Returns the shards for which this daemon has lease state: those of which it is or was holder or standby, and those
     * for which a peer has sent it a renewal or a release.
     *
     * @return the live map of the shards by number
     */
    public Map<Integer, LocalShard> shards() {
        return shards;
    }

    /**
     * Grants tokens under the leases of this daemon.
     *
     * @param shard the number of the shard
     * @param demand the team, the service and the requested tokens
     * @return the decision
     */
    public Grant acquire(int shard, Demand demand) {
        LocalShard s = shards.get(shard);
        if (s == null) {
            return Grant.NOT_HOLDER;
        }
        Allowance a = board.configuration()
                .get()
                .configuration()
                .allowance(demand.key().team(), demand.key().service())
                .orElse(null);
        if (a == null) {
            return Grant.NO_RIGHT;
        }
        synchronized (s) {
            long now = board.clock().nanoTime();
            return s.ledger.acquire(demand, a, s.leases.usableHalves(now), now);
        }
    }

    /**
     * Returns the halves of a shard that this daemon may use now.
     *
     * @param shard the number of the shard
     * @return the halves
     */
    public UsableHalves usableHalves(int shard) {
        LocalShard s = shards.get(shard);
        if (s == null) {
            return UsableHalves.NONE;
        }
        synchronized (s) {
            return s.leases.usableHalves(board.clock().nanoTime());
        }
    }

    /**
     * Sends a renewal for each shard of which this daemon is the holder and that has a standby, in one message to each
     * standby. A shard that this daemon claims or has released is left out.
     */
    public void tick() {
        Map<String, List<RenewRequest>> byStandby = new HashMap<>();
        for (LocalShard s : shards.values()) {
            synchronized (s) {
                s.leases.createRenewal(board.clock().nanoTime()).ifPresent(r -> byStandby
                        .computeIfAbsent(s.leases.entry().standby(), k -> new ArrayList<>())
                        .add(r));
            }
        }
        byStandby.forEach(this::sendRenewals);
    }

    /**
     * Answers the renewal requests of a partner.
     *
     * @param batch the requests
     * @return the replies
     */
    public RenewBatchReply onRenew(RenewBatch batch) {
        RenewBatchReply.Builder out = RenewBatchReply.newBuilder().setStart(board.startMillis());
        for (RenewRequest r : batch.getRequestsList()) {
            LocalShard s = getOrCreateShard(r.getShard());
            synchronized (s) {
                out.addReplies(s.leases.handleRequest(
                        batch.getFrom(), batch.getFromStart(), r, board.clock().nanoTime()));
            }
        }
        return out.build();
    }

    /**
     * Ends the leases of this daemon that belong to earlier epochs, because another daemon takes over the shard.
     *
     * @param request the shard and its new epoch
     * @return true, because this daemon has no lease of an earlier epoch left
     */
    public boolean onSurrender(SurrenderRequest request) {
        // The entry includes the unsettled hosts, so that a later takeover by this daemon waits for each of them too.
        applyEntry(new ShardEntry(
                request.getShard(),
                request.getEpoch(),
                request.getHolder(),
                "",
                true,
                List.of(),
                request.getUnsettledList()));
        return true;
    }

    /**
     * Asks a host to end its leases of earlier epochs.
     *
     * @param host the host
     * @param entry the entry of the new epoch
     * @return whether the host has ended them; false if it cannot be reached
     */
    public CompletableFuture<Boolean> requestSurrender(String host, ShardEntry entry) {
        SurrenderRequest request = SurrenderRequest.newBuilder()
                .setShard(entry.shard())
                .setEpoch(entry.epoch())
                .setHolder(entry.holder())
                .addAllUnsettled(entry.unsettled())
                .build();
        if (host.equals(board.settings().host())) {
            return CompletableFuture.completedFuture(onSurrender(request));
        }
        Member m = board.members().find(host).filter(Member::isReachable).orElse(null);
        if (m == null) {
            return CompletableFuture.completedFuture(false);
        }
        return peers.<SurrenderReply>call(m, RENEW_TIMEOUT, (stub, o) -> stub.surrender(request, o))
                .handle((r, e) -> e == null && r.getSurrendered());
    }

    /**
     * Takes both halves of a shard, after the platform has written the entry that ends a takeover by this daemon.
     *
     * @param entry the entry, with this daemon as holder
     * @param requestedAt monotonic time at which the platform was asked to write the entry, in nanoseconds
     */
    public void completeTakeover(ShardEntry entry, long requestedAt) {
        LocalShard s = getOrCreateShard(entry.shard());
        synchronized (s) {
            s.leases.completeTakeover(entry, requestedAt, board.clock().nanoTime());
        }
        applyEntry(entry);
    }

    /**
     * Releases all leases and notifies the partners, before this daemon leaves the fleet.
     *
     * @return completes when each partner has replied, or its message has failed or timed out
     */
    public CompletableFuture<Void> release() {
        Map<String, List<RenewRequest>> byPartner = new HashMap<>();
        for (LocalShard s : shards.values()) {
            synchronized (s) {
                ShardEntry e = s.leases.entry();
                s.leases.release(board.clock().nanoTime()).ifPresent(r -> byPartner
                        .computeIfAbsent(e.partnerOf(board.settings().host()), k -> new ArrayList<>())
                        .add(r));
            }
        }
        List<CompletableFuture<RenewBatchReply>> sent = new ArrayList<>();
        byPartner.forEach((host, requests) -> sendBatch(host, requests).ifPresent(sent::add));
        return CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new)).exceptionally(e -> null);
    }

    /**
     * Applies an entry that the platform returned, and records that the platform confirmed its epoch.
     *
     * @param entry the entry
     * @param requestedAt monotonic time at which the platform was asked, in nanoseconds
     */
    public void applyPlatformEntry(ShardEntry entry, long requestedAt) {
        applyEntry(entry);
        LocalShard s = shards.get(entry.shard());
        if (s != null) {
            synchronized (s) {
                s.applyEntry(entry, board.clock().nanoTime());
                s.leases.confirmEpoch(entry.epoch(), requestedAt);
            }
        }
    }

    private void onRecord(Record r) {
        if (!r.getName().startsWith(ShardEntry.PREFIX)) {
            return;
        }
        try {
            if (r.getName().equals(SHARD_COUNT_NAME)) {
                shardCount =
                        Json.read(r.getValue().toByteArray(), ShardCount.class).count();
            } else {
                applyEntry(Json.read(r.getValue().toByteArray(), ShardEntry.class));
            }
        } catch (FuchsiastandException e) {
            Logger.error(e, "the record {} cannot be read", r.getName());
        }
    }

    private void applyEntry(ShardEntry entry) {
        table.merge(entry.shard(), entry, (a, b) -> a.epoch() >= b.epoch() ? a : b);
        LocalShard s =
                entry.includes(board.settings().host()) ? getOrCreateShard(entry.shard()) : shards.get(entry.shard());
        if (s != null) {
            synchronized (s) {
                s.applyEntry(entry, board.clock().nanoTime());
            }
        }
    }

    private LocalShard getOrCreateShard(int shard) {
        return shards.computeIfAbsent(
                shard,
                n -> new LocalShard(new ShardLeases(
                        board.settings().host(),
                        board.startMillis(),
                        n,
                        board.settings().leaseTerms())));
    }

    private void sendRenewals(String standby, List<RenewRequest> requests) {
        sendBatch(standby, requests)
                .ifPresent(f -> f.thenAccept(reply -> {
                    for (RenewReply r : reply.getRepliesList()) {
                        LocalShard s = shards.get(r.getShard());
                        if (s != null) {
                            synchronized (s) {
                                s.leases.handleReply(
                                        reply.getStart(), r, board.clock().nanoTime());
                            }
                        }
                    }
                }));
    }

    private Optional<CompletableFuture<RenewBatchReply>> sendBatch(String host, List<RenewRequest> requests) {
        Member m = board.members().find(host).orElse(null);
        if (m == null || m.state() == MemberState.LEFT) {
            return Optional.empty();
        }
        RenewBatch batch = RenewBatch.newBuilder()
                .setFrom(board.settings().host())
                .setFromStart(board.startMillis())
                .addAllRequests(requests)
                .build();
        return Optional.of(peers.call(m, RENEW_TIMEOUT, (stub, o) -> stub.renew(batch, o)));
    }
}
