package io.fuchsiastand.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.ObjectsAtRevision;
import io.fuchsiastand.store.StoredObject;

/**
 * An in-memory object store that stands in for the platform. It can simulate faults and counts its calls. It keeps
 * tombstones of the latest 10,000 deletions. A watch from a revision before a deletion whose tombstone was removed, or from
 * a revision after the current one, returns an expired result.
 */
public final class MemoryObjectStore implements ObjectStore {

    private static final int MAX_TOMBSTONES = 10_000;

    /** The kinds of calls. */
    public enum Call {
        /** Reads of one object. */
        GET,
        /** Lists of the objects with a prefix. */
        LIST,
        /** Writes. */
        PUT,
        /** Deletions. */
        DELETE,
        /** Watches; each counts once, however long it waits. */
        WATCH
    }

    /**
     * The simulated faults.
     *
     * @param down whether every call fails
     * @param delayMillis the delay of each call in milliseconds
     * @param loseAnswers whether the responses to writes are lost, so that a write fails after it has taken effect
     * @param staleWatch whether watches return no changes
     * @param cutWatch whether watches fail
     */
    public record Faults(boolean down, long delayMillis, boolean loseAnswers, boolean staleWatch, boolean cutWatch) {

        /** No faults. */
        public static final Faults NONE = new Faults(false, 0, false, false, false);
    }

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final TreeMap<Long, String> tombstones = new TreeMap<>();
    private final Map<Call, Long> counts = new EnumMap<>(Call.class);
    private final TreeMap<String, StoredObject> copy = new TreeMap<>();
    private long copyRevision;
    private long era = 1;
    private long revision;
    /** Revision of the latest deletion whose tombstone has been removed; a watch from an earlier revision expires. */
    private long lastRemovedTombstoneRevision;

    private volatile Faults faults = Faults.NONE;

    /**
     * Sets the faults. Watches in progress observe the new faults at once. A write in progress observes only whether its
     * response is lost.
     *
     * @param next the faults of later calls and of watches in progress
     */
    public synchronized void setFaults(Faults next) {
        faults = next;
        notifyAll();
    }

    /**
     * Returns the number of calls since the start of the store.
     *
     * @return the number of calls by kind
     */
    public synchronized Map<Call, Long> counts() {
        return Map.copyOf(counts);
    }

    /** Copies all objects, for {@link #restoreCopy}. */
    public synchronized void makeCopy() {
        copy.clear();
        copy.putAll(objects);
        copyRevision = revision;
    }

    /**
     * Comes back with the objects of the copy. Later changes are lost, their revisions are given out again, and watches from
     * later revisions expire. The era rises by one.
     */
    public synchronized void restoreCopy() {
        objects.clear();
        objects.putAll(copy);
        tombstones.tailMap(copyRevision, false).clear();
        revision = copyRevision;
        era++;
        notifyAll();
    }

    @Override
    public synchronized long era() {
        return era;
    }

    @Override
    public Optional<StoredObject> get(String name) {
        countAndSimulateFaults(Call.GET);
        synchronized (this) {
            return Optional.ofNullable(objects.get(name));
        }
    }

    @Override
    public ObjectsAtRevision list(String prefix) {
        countAndSimulateFaults(Call.LIST);
        synchronized (this) {
            return new ObjectsAtRevision(revision, matching(prefix, 0), false);
        }
    }

    @Override
    public long put(String name, byte[] value, long expected, String changeId) {
        countAndSimulateFaults(Call.PUT);
        if (value.length > MAX_VALUE_BYTES) {
            throw new FuchsiastandException(ErrorCode.PLATFORM_ERROR, name + " is larger than the platform accepts");
        }
        synchronized (this) {
            checkVersion(name, expected);
            revision++;
            objects.put(name, new StoredObject(name, revision, value.clone(), changeId));
            notifyAll();
        }
        return respondUnlessLost(objects.get(name).version());
    }

    @Override
    public void delete(String name, long expected) {
        countAndSimulateFaults(Call.DELETE);
        synchronized (this) {
            checkVersion(name, expected);
            if (objects.remove(name) != null) {
                revision++;
                tombstones.put(revision, name);
                while (tombstones.size() > MAX_TOMBSTONES) {
                    lastRemovedTombstoneRevision = tombstones.pollFirstEntry().getKey();
                }
                notifyAll();
            }
        }
        respondUnlessLost(0);
    }

    @Override
    public ObjectsAtRevision watch(String prefix, long from, Duration wait) {
        countAndSimulateFaults(Call.WATCH);
        long deadline = System.nanoTime() + wait.toNanos();
        synchronized (this) {
            while (true) {
                Faults f = faults;
                if (f.down() || f.cutWatch()) {
                    throw unavailable();
                }
                if (from < lastRemovedTombstoneRevision || from > revision) {
                    return new ObjectsAtRevision(revision, List.of(), true);
                }
                List<StoredObject> changed = f.staleWatch() ? List.of() : matching(prefix, from);
                long remaining = deadline - System.nanoTime();
                if (!changed.isEmpty() || remaining <= 0) {
                    return new ObjectsAtRevision(f.staleWatch() ? from : revision, changed, false);
                }
                waitForChange(remaining);
            }
        }
    }

    private void waitForChange(long nanos) {
        try {
            TimeUnit.NANOSECONDS.timedWait(this, Math.max(nanos, 1_000_000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unavailable();
        }
    }

    private List<StoredObject> matching(String prefix, long after) {
        List<StoredObject> out = new ArrayList<>();
        for (StoredObject o : objects.tailMap(prefix, true).values()) {
            if (!o.name().startsWith(prefix)) {
                break;
            }
            if (o.version() > after) {
                out.add(o);
            }
        }
        if (after > 0) {
            tombstones.tailMap(after, false).forEach((v, n) -> {
                if (n.startsWith(prefix) && !objects.containsKey(n)) {
                    out.add(new StoredObject(n, v, null, ""));
                }
            });
        }
        return out;
    }

    private void checkVersion(String name, long expected) {
        StoredObject old = objects.get(name);
        long version = old == null ? StoredObject.ABSENT : old.version();
        if (version != expected) {
            throw new FuchsiastandException(ErrorCode.CONFLICT, name + " has version " + version);
        }
    }

    private void countAndSimulateFaults(Call call) {
        Faults f = faults;
        synchronized (this) {
            counts.merge(call, 1L, Long::sum);
        }
        if (f.delayMillis() > 0) {
            try {
                Thread.sleep(f.delayMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (f.down()) {
            throw unavailable();
        }
    }

    private long respondUnlessLost(long version) {
        if (faults.loseAnswers()) {
            throw unavailable();
        }
        return version;
    }

    private static FuchsiastandException unavailable() {
        return new FuchsiastandException(ErrorCode.PLATFORM_UNAVAILABLE, "the platform is unavailable");
    }
}
