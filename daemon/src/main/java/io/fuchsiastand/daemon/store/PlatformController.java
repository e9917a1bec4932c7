package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.LastContact;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.KeyBucket;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.ObjectsAtRevision;
import io.fuchsiastand.store.RetryingObjectStore;
import io.fuchsiastand.store.StoredObject;
import org.tinylog.Logger;

/**
 * Copies objects of the platform to the records. Each daemon reads all these objects when it starts. After that, only
 * the relays watch the platform: a few daemons of each data centre that rendezvous hashing selects. All other daemons
 * receive changes from peers, so the number of watch calls to the platform does not grow with the number of hosts. Each
 * holder or standby also reads the entries of its shards several times in each platform term
 * ({@code LeaseTerms.platform}), because a lease expires if the platform has not confirmed its epoch for that long. Writes
 * to the platform what must be stored permanently: the shard table and withdrawals of keys.
 */
public final class PlatformController {

    /** The maximum time that one call to watch the platform waits for changes. */
    public static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(20);

    private static final int RELAYS_PER_DATA_CENTRE = 2;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final List<String> NAME_PREFIXES =
            List.of("config/", KeyBucket.PREFIX, ShardEntry.PREFIX, ShardTakeover.GONE_PREFIX);

    private final Blackboard board;
    private final ObjectStore store;
    private final LimitController limits;
    private final ShardTableWriter writer;
    private final Supplier<List<String>> missingChunks;
    private final SplittableRandom random = new SplittableRandom();
    private volatile boolean loaded;
    private volatile boolean running = true;
    private final AtomicInteger watchFailures = new AtomicInteger();
    private final AtomicInteger writeFailures = new AtomicInteger();
    private long revision;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param store the object store of the platform
     * @param limits the leases of this daemon on shards
     * @param missingChunks returns the names of the configuration chunks that are needed and not stored yet
     */
    public PlatformController(
            Blackboard board, ObjectStore store, LimitController limits, Supplier<List<String>> missingChunks) {
        this.board = board;
        this.store = store;
        this.limits = limits;
        this.missingChunks = missingChunks;
        writer = new ShardTableWriter(board, limits, store);
    }

    /**
     * Returns whether the objects of the platform have been read since the start.
     *
     * @return true once they have been read
     */
    public boolean isLoaded() {
        return loaded;
    }

    /** Watches the platform until {@link #stop} is called. Blocks; runs on a thread of its own. */
    public void watchLoop() {
        while (running) {
            runWithBackoff(watchFailures, () -> {
                if (!loaded) {
                    load();
                } else if (isRelay()) {
                    watch();
                } else {
                    revision = 0;
                    Pause.sleep(POLL_INTERVAL);
                }
            });
        }
    }

    /** Writes to the platform until {@link #stop} is called. Blocks; runs on a thread of its own. */
    public void writeLoop() {
        while (running) {
            runWithBackoff(writeFailures, () -> {
                if (loaded) {
                    writer.createMissingEntries();
                    writer.tick();
                    fetchMissingChunks();
                    writeWithdrawals();
                }
                Pause.sleep(POLL_INTERVAL);
            });
        }
    }

    /** Stops both loops after the round in progress. */
    public void stop() {
        running = false;
    }

    /**
     * Returns whether this daemon is a relay, one of the few daemons of its data centre that watch the platform and pass
     * changes on to peers as records.
     *
     * @return true if rendezvous hashing selects it
     */
    public boolean isRelay() {
        List<Member> sameDataCentre = board.members().reachable().stream()
                .filter(m -> m.dataCentre().equals(board.settings().dataCentre()))
                .toList();
        return Membership.rendezvousOrder("relay", sameDataCentre).stream()
                .limit(RELAYS_PER_DATA_CENTRE)
                .anyMatch(m -> m.host().equals(board.settings().host()));
    }

    private void load() {
        listAll();
        loaded = true;
        Logger.info(
                "the platform answered; {} records are stored", board.records().size());
    }

    private void listAll() {
        long lowest = 0;
        for (String prefix : NAME_PREFIXES) {
            long requestedAt = board.clock().nanoTime();
            ObjectsAtRevision s = store.list(prefix);
            s.objects().forEach(o -> applyObject(o, requestedAt));
            lowest = lowest == 0 ? s.revision() : Math.min(lowest, s.revision());
        }
        revision = lowest;
        recordContact();
    }

    private void watch() {
        if (revision == 0) {
            listAll();
        }
        long requestedAt = board.clock().nanoTime();
        ObjectsAtRevision s = store.watch("", revision, MAX_WATCH_WAIT);
        if (s.expired()) {
            revision = 0;
            return;
        }
        for (StoredObject o : s.objects()) {
            if (o.isDeleted()) {
                continue;
            }
            if (NAME_PREFIXES.stream().anyMatch(p -> o.name().startsWith(p))) {
                applyObject(o, requestedAt);
            }
        }
        revision = s.revision();
        recordContact();
    }

    private void applyObject(StoredObject o, long requestedAt) {
        board.putRecord(o.name(), o.version(), o.value());
        if (o.name().startsWith(ShardEntry.PREFIX) && !o.name().equals(LimitController.SHARD_COUNT_NAME)) {
            applyShardEntry(o, requestedAt);
        }
    }

    // An entry that cannot be read must not hide the other objects.
    private void applyShardEntry(StoredObject o, long requestedAt) {
        ShardEntry entry;
        try {
            entry = Json.read(o.value(), ShardEntry.class);
        } catch (FuchsiastandException e) {
            Logger.warn("{} ignoring the object {}: {}", e.code().code(), o.name(), e.getMessage());
            return;
        }
        limits.applyPlatformEntry(entry, requestedAt);
    }

    private void fetchMissingChunks() {
        for (String name : missingChunks.get()) {
            // A daemon that is not a relay receives chunks from peers, unless the fleet has no more daemons than a data
            // centre has relays.
            if (!isRelay()
                    && name.startsWith(ConfigurationCodec.CHUNK_PREFIX)
                    && board.fleetSize() > RELAYS_PER_DATA_CENTRE) {
                return;
            }
            store.get(name).ifPresent(o -> board.putRecord(name, o.version(), o.value()));
        }
    }

    // Writes the withdrawals that operators made while the platform was unavailable, once it is available again.
    private void writeWithdrawals() {
        if (!isRelay()) {
            return;
        }
        for (Record r : board.records().list(KeyBucket.WITHDRAWAL_PREFIX)) {
            String digest = r.getName().substring(KeyBucket.WITHDRAWAL_PREFIX.length());
            String bucket = KeyBucket.objectNameFor(digest);
            KeyBucket stored = board.records()
                    .get(bucket)
                    .map(b -> Json.read(b.getValue().toByteArray(), KeyBucket.class))
                    .orElse(KeyBucket.EMPTY);
            Optional<KeyEntry> entry = stored.keys().stream()
                    .filter(k -> k.digest().equals(digest))
                    .findFirst();
            if (entry.isPresent() && entry.get().withdrawn() == null) {
                writeWithdrawal(bucket, digest);
            }
        }
    }

    private void writeWithdrawal(String bucket, String digest) {
        StoredObject o = store.get(bucket).orElse(null);
        if (o == null) {
            return;
        }
        KeyBucket current = Json.read(o.value(), KeyBucket.class);
        for (KeyEntry k : current.keys()) {
            if (k.digest().equals(digest) && k.withdrawn() == null) {
                byte[] value = Json.write(current.with(k.withdraw(board.clock().now())));
                try {
                    long version = store.put(
                            bucket, value, o.version(), UUID.randomUUID().toString());
                    board.putRecord(bucket, version, value);
                } catch (FuchsiastandException e) {
                    if (e.code() != ErrorCode.CONFLICT) {
                        throw e;
                    }
                }
                return;
            }
        }
    }

    private void recordContact() {
        LastContact c = board.lastContact().get();
        board.lastContact().set(new LastContact(board.clock().nanoTime(), c.peerNanos(), true));
    }

    private void runWithBackoff(AtomicInteger failures, Runnable work) {
        try {
            work.run();
            failures.set(0);
        } catch (FuchsiastandException e) {
            if (failures.incrementAndGet() == 1) {
                Logger.warn(
                        "{} reading from or writing to the platform failed: {}",
                        e.code().code(),
                        e.getMessage());
            }
            Pause.sleep(RetryingObjectStore.delay(Math.min(failures.get(), 20), random));
        } catch (RuntimeException e) {
            Logger.error(e, "an error in the daemon interrupted its work with the platform");
            Pause.sleep(POLL_INTERVAL);
        }
    }
}
