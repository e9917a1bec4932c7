package io.fuchsiastand.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.protocol.BucketVersions;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.protocol.RecordVersion;
import io.fuchsiastand.protocol.SyncReply;
import io.fuchsiastand.protocol.SyncRequest;

/**
 * The replicated records of one daemon. A record is a copy of an object of the platform, a record of the configuration (a
 * chunk, the index or the version), or a record that a daemon creates (the record of its host, or the withdrawal of a team
 * key). It has a name and a version. The higher version wins: a store replaces a record only by a newer one.
 *
 * <p>New records spread as gossip updates on probes and their replies; a daemon sends a record to each host once, and not
 * to those that it got it from. An anti-entropy exchange with a random neighbour compares one hash per bucket and transfers the records that
 * gossip did not deliver. A content-addressed record ({@link #isContentAddressed}) takes part in neither: a daemon that
 * needs it requests it from a neighbour by name.
 *
 * <p>Records can be read and written from any thread. Listeners are called outside the lock, so that with concurrent
 * writers they can receive two versions of a record in the wrong order. The listeners must be registered before the first
 * record is stored, because the list of listeners is read without the lock.
 */
public final class RecordStore {

    /** Number of buckets whose hashes an anti-entropy exchange compares. */
    public static final int BUCKETS = 64;

    private static final String CONTENT_PREFIX = "chunk/";
    private static final int MAX_GOSSIP_BYTES = 16_384;
    private static final int MAX_SYNC_BYTES = 1_000_000;

    private final Map<Integer, Map<String, Record>> buckets = new HashMap<>();
    private final Map<String, Record> contentRecords = new HashMap<>();
    private final long[] hashes = new long[BUCKETS];
    // The names of the records to send on, with the hosts that have them: they sent them, or they got them from here.
    private final Map<String, Set<String>> gossipHolders = new LinkedHashMap<>();
    private final List<Consumer<Record>> listeners = new ArrayList<>();
    private final List<Consumer<Record>> gossipListeners = new ArrayList<>();
    private Predicate<String> nameFilter = name -> true;

    /**
     * Registers a listener for stored records.
     *
     * @param listener called with each stored record, on the thread that stores it
     */
    public synchronized void listen(Consumer<Record> listener) {
        listeners.add(listener);
    }

    /**
     * Registers a listener for the stored records that are queued as gossip updates.
     *
     * @param listener called with each record, on the thread that stores it
     */
    public synchronized void listenGossip(Consumer<Record> listener) {
        gossipListeners.add(listener);
    }

    /**
     * Sets the filter that decides by name which records are stored. Without a filter, this daemon would store the record
     * of a removed host again when a peer that still has it sends it.
     *
     * @param filter returns true for the name of a record that may be stored; called while the records are locked, so it must
     *     not wait for another lock
     */
    public synchronized void setNameFilter(Predicate<String> filter) {
        nameFilter = filter;
    }

    /**
     * Stores a record if it is newer than the stored one, and queues it as a gossip update. A content-addressed record is
     * stored if it is absent, and is not queued.
     *
     * @param record the record
     * @return true if the record was stored
     */
    public boolean put(Record record) {
        return put(record, true, Set.of());
    }

    /**
     * Stores a record that another host has sent, as {@link #put(Record)} does. It is not sent back to that host.
     *
     * @param record the record
     * @param from the host that has sent it
     * @return true if the record was stored
     */
    public boolean put(Record record, String from) {
        return put(record, true, Set.of(from));
    }

    /**
     * Stores a record that the other hosts also receive directly from its source (for example the configuration), if it
     * is newer than the stored one. The record is not queued as a gossip update; hosts that lack it receive it in an
     * anti-entropy exchange.
     *
     * @param record the record
     * @return true if the record was stored
     */
    public boolean putWithoutGossip(Record record) {
        return put(record, false, Set.of());
    }

    private boolean put(Record record, boolean gossip, Set<String> holders) {
        boolean queued = gossip && !isContentAddressed(record.getName());
        synchronized (this) {
            if (!nameFilter.test(record.getName())) {
                return false;
            }
            if (isContentAddressed(record.getName())) {
                if (contentRecords.putIfAbsent(record.getName(), record) != null) {
                    return false;
                }
            } else if (!replace(record)) {
                addHolders(record, holders);
                return false;
            } else if (queued) {
                gossipHolders.put(record.getName(), new HashSet<>(holders));
            }
        }
        for (Consumer<Record> l : List.copyOf(listeners)) {
            l.accept(record);
        }
        if (queued) {
            List.copyOf(gossipListeners).forEach(l -> l.accept(record));
        }
        return true;
    }

    /**
     * Finds a record.
     *
     * @param name the name of the record
     * @return the record, or empty if it is not stored
     */
    public synchronized Optional<Record> get(String name) {
        if (isContentAddressed(name)) {
            return Optional.ofNullable(contentRecords.get(name));
        }
        Map<String, Record> bucket = buckets.get(bucketOf(name));
        return bucket == null ? Optional.empty() : Optional.ofNullable(bucket.get(name));
    }

    /**
     * Lists the records whose names have a prefix.
     *
     * @param prefix the prefix
     * @return the records
     */
    public synchronized List<Record> list(String prefix) {
        List<Record> out = new ArrayList<>();
        Collection<Map<String, Record>> maps = isContentAddressed(prefix) ? List.of(contentRecords) : buckets.values();
        for (Map<String, Record> m : maps) {
            m.values().stream().filter(r -> r.getName().startsWith(prefix)).forEach(out::add);
        }
        return out;
    }

    /**
     * Removes a record that is no longer needed.
     *
     * @param name the name of the record
     */
    public synchronized void remove(String name) {
        if (isContentAddressed(name)) {
            contentRecords.remove(name);
            return;
        }
        Map<String, Record> bucket = buckets.get(bucketOf(name));
        Record old = bucket == null ? null : bucket.remove(name);
        if (old != null) {
            hashes[bucketOf(name)] ^= versionHash(old);
            gossipHolders.remove(name);
        }
    }

    /**
     * Removes a record if the name filter rejects its name.
     *
     * @param name the name of the record
     */
    public synchronized void removeIfRejected(String name) {
        if (!nameFilter.test(name)) {
            remove(name);
        }
    }

    /**
     * Returns the number of records, including content-addressed ones.
     *
     * @return the number
     */
    public synchronized int size() {
        return contentRecords.size()
                + buckets.values().stream().mapToInt(Map::size).sum();
    }

    private void addHolders(Record record, Set<String> holders) {
        Set<String> known = gossipHolders.get(record.getName());
        if (known != null
                && get(record.getName())
                        .filter(r -> r.getVersion() == record.getVersion())
                        .isPresent()) {
            known.addAll(holders);
        }
    }

    /**
     * Returns the gossip updates that a host lacks as far as this daemon knows, to send with one probe or reply. The total
     * size is limited, but the first record is returned whatever its size. From now on the host counts as having them.
     *
     * @param to the host
     * @return the records, those that were queued first at the beginning
     */
    public synchronized List<Record> takeGossipUpdates(String to) {
        List<Record> out = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<String, Set<String>> e : gossipHolders.entrySet()) {
            Record r = e.getValue().contains(to) ? null : get(e.getKey()).orElse(null);
            if (r != null && (bytes == 0 || bytes + r.getSerializedSize() <= MAX_GOSSIP_BYTES)) {
                bytes += r.getSerializedSize();
                out.add(r);
                e.getValue().add(to);
            }
        }
        return out;
    }

    /**
     * Queues records again for a host, because a message that carried them was not answered.
     *
     * @param records the records
     * @param to the host
     * @param holders the hosts that need not get the records again
     */
    public synchronized void requeueGossipUpdates(Collection<Record> records, String to, Collection<String> holders) {
        for (Record r : records) {
            gossipHolders
                    .computeIfAbsent(r.getName(), n -> new HashSet<>(holders))
                    .remove(to);
        }
    }

    /**
     * Ends the sending of the records that all of the given hosts have.
     *
     * @param hosts the hosts that this daemon sends gossip updates to
     */
    public synchronized void endGossipUpdates(Collection<String> hosts) {
        gossipHolders.values().removeIf(h -> h.containsAll(hosts));
    }

    /**
     * Returns whether there are records to send to a host.
     *
     * @param to the host
     * @return true if gossip updates are pending
     */
    public synchronized boolean hasGossipUpdates(String to) {
        return gossipHolders.values().stream().anyMatch(h -> !h.contains(to));
    }

    /**
     * Creates the first request of an anti-entropy exchange with a peer.
     *
     * @param from the name of this host
     * @return the request, which carries one hash per bucket
     */
    public synchronized SyncRequest startSync(String from) {
        SyncRequest.Builder b = SyncRequest.newBuilder().setFrom(from);
        for (long h : hashes) {
            b.addBucketHashes(h);
        }
        return b.build();
    }

    /**
     * Answers a request of an anti-entropy exchange.
     *
     * @param request the request of a peer
     * @return for bucket hashes, the record versions of the buckets that differ; for record versions, the records that the
     *     peer lacks or has in an older version, and the names of those that this daemon lacks or has in an older version;
     *     for names, the named records. The total size of the records is limited, but the first one is returned whatever its
     *     size.
     */
    public synchronized SyncReply answerSync(SyncRequest request) {
        SyncReply.Builder b = SyncReply.newBuilder();
        for (int i = 0; i < Math.min(BUCKETS, request.getBucketHashesCount()); i++) {
            if (hashes[i] != request.getBucketHashes(i)) {
                b.addDiffering(versions(i));
            }
        }
        int[] bytes = {0};
        for (BucketVersions theirs : request.getBucketsList()) {
            if (theirs.getBucket() >= 0 && theirs.getBucket() < BUCKETS) {
                compare(theirs, r -> addWithinSizeLimit(b, r, bytes), b::addWanted);
            }
        }
        for (String name : request.getWantedList()) {
            get(name).ifPresent(r -> addWithinSizeLimit(b, r, bytes));
        }
        return b.build();
    }

    /**
     * Continues an anti-entropy exchange after the first reply.
     *
     * @param from the name of this host
     * @param reply the reply, which lists the record versions of the peer in the buckets that differ
     * @return the second request, which carries the record versions of this daemon in the buckets that differ and the
     *     records that the peer lacks or has in an older version (of limited total size), or empty if no bucket differs
     */
    public synchronized Optional<SyncRequest> continueSync(String from, SyncReply reply) {
        if (reply.getDifferingCount() == 0) {
            return Optional.empty();
        }
        SyncRequest.Builder b = SyncRequest.newBuilder().setFrom(from);
        int[] bytes = {0};
        for (BucketVersions theirs : reply.getDifferingList()) {
            if (theirs.getBucket() < 0 || theirs.getBucket() >= BUCKETS) {
                continue;
            }
            b.addBuckets(versions(theirs.getBucket()));
            compare(
                    theirs,
                    r -> {
                        if (bytes[0] == 0 || bytes[0] + r.getSerializedSize() <= MAX_SYNC_BYTES) {
                            bytes[0] += r.getSerializedSize();
                            b.addRecords(r);
                        }
                    },
                    n -> {});
        }
        return Optional.of(b.build());
    }

    /**
     * Returns whether a record is named by the digest of its content, so that it never changes.
     *
     * @param name the name of the record
     * @return true if the name starts with {@code chunk/}
     */
    public static boolean isContentAddressed(String name) {
        return name.startsWith(CONTENT_PREFIX);
    }

    private boolean replace(Record record) {
        int i = bucketOf(record.getName());
        Map<String, Record> bucket = buckets.computeIfAbsent(i, k -> new TreeMap<>());
        Record old = bucket.get(record.getName());
        if (old != null && old.getVersion() >= record.getVersion()) {
            return false;
        }
        bucket.put(record.getName(), record);
        hashes[i] ^= versionHash(record) ^ (old == null ? 0 : versionHash(old));
        return true;
    }

    private void compare(BucketVersions theirs, Consumer<Record> onNewerHere, Consumer<String> onNewerThere) {
        Map<String, Long> versions = new HashMap<>();
        theirs.getVersionsList().forEach(v -> versions.put(v.getName(), v.getVersion()));
        Map<String, Record> mine = buckets.getOrDefault(theirs.getBucket(), Map.of());
        for (Record r : mine.values()) {
            Long v = versions.get(r.getName());
            if (v == null || v < r.getVersion()) {
                onNewerHere.accept(r);
            }
        }
        versions.forEach((n, v) -> {
            Record r = mine.get(n);
            if (r == null || r.getVersion() < v) {
                onNewerThere.accept(n);
            }
        });
    }

    private BucketVersions versions(int bucket) {
        BucketVersions.Builder b = BucketVersions.newBuilder().setBucket(bucket);
        for (Record r : buckets.getOrDefault(bucket, Map.of()).values()) {
            b.addVersions(RecordVersion.newBuilder().setName(r.getName()).setVersion(r.getVersion()));
        }
        return b.build();
    }

    private static void addWithinSizeLimit(SyncReply.Builder b, Record r, int[] bytes) {
        if (bytes[0] == 0 || bytes[0] + r.getSerializedSize() <= MAX_SYNC_BYTES) {
            bytes[0] += r.getSerializedSize();
            b.addRecords(r);
        }
    }

    private static int bucketOf(String name) {
        return (int) Math.floorMod(Digests.hash64(name), (long) BUCKETS);
    }

    private static long versionHash(Record r) {
        return Digests.mix(Digests.hash64(r.getName()) + r.getVersion());
    }

    /**
     * Creates a record.
     *
     * @param name the name of the record
     * @param version the version of the record
     * @param value the content of the record
     * @return the record
     */
    public static Record record(String name, long version, byte[] value) {
        return Record.newBuilder()
                .setName(name)
                .setVersion(version)
                .setValue(ByteString.copyFrom(value))
                .build();
    }
}
