package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.routing.Departures;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.RetryingObjectStore;
import io.fuchsiastand.store.StoredObject;
import org.tinylog.Logger;

/**
 * Keeps the record of this host's departures in the object store as well, so that it outlasts the end of all daemons of the fleet.
 * The record names a limited number of processes, and there is one object for each host. An object is written only when the
 * record has changed, on a thread that exists only while there is something to write. While the store is unavailable,
 * the thread tries again at growing intervals.
 */
public final class DeparturesController {

    /** Time for which the acknowledgement of a departure may wait until the store has it. */
    public static final Duration MAX_ACKNOWLEDGEMENT_DELAY = Duration.ofMillis(300);

    // The era before the store was first read.
    private static final long NONE = Long.MIN_VALUE;

    private final Blackboard board;
    private final ObjectStore store;
    private final String name;
    private final SplittableRandom random = new SplittableRandom();
    // The lock of this object guards the following fields.
    private boolean loaded;
    // The version of the record that the store has.
    private long writtenVersion;
    private long era = NONE;
    private Thread writer;
    private boolean stopped;
    // Only the thread that holds the lock storeAccess uses it.
    private long objectVersion = StoredObject.ABSENT;
    private final Object storeAccess = new Object();

    /**
     * The content of the object.
     *
     * @param version the version of the record
     * @param departures the record
     */
    public record Content(long version, Departures departures) {}

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param store the object store
     */
    public DeparturesController(Blackboard board, ObjectStore store) {
        this.board = board;
        this.store = store;
        name = Departures.PREFIX + board.settings().host();
    }

    /** Starts to listen for the record of this host. */
    public void start() {
        board.records().listen(r -> {
            if (r.getName().equals(name)) {
                startWriter();
            }
        });
    }

    /** Stops writing. */
    public synchronized void stop() {
        stopped = true;
        if (writer != null) {
            writer.interrupt();
        }
    }

    /**
     * Reads what the processes before this one have written, once. When the store has come back with older objects, writes the record
     * again. May block.
     *
     * @param newHost whether there was no process before this one
     * @throws FuchsiastandException if the store is unavailable
     */
    public void tick(boolean newHost) {
        synchronized (this) {
            if (era == NONE && newHost) {
                era = store.era();
                loaded = true;
            }
            if (loaded && store.era() == era) {
                return;
            }
            loaded = false;
        }
        synchronized (storeAccess) {
            load();
        }
        startWriter();
    }

    /**
     * Waits until the store has the record of this host, at most {@link #MAX_ACKNOWLEDGEMENT_DELAY}. Peers have it by gossip if
     * the store is unavailable.
     */
    public synchronized void awaitWritten() {
        long end = System.nanoTime() + MAX_ACKNOWLEDGEMENT_DELAY.toNanos();
        long left = MAX_ACKNOWLEDGEMENT_DELAY.toMillis();
        while (left > 0 && !stopped && !isWritten()) {
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            left = (end - System.nanoTime()) / 1_000_000;
        }
    }

    private Optional<Record> record() {
        return board.records().get(name);
    }

    private synchronized boolean isWritten() {
        return record().map(r -> r.getVersion() <= writtenVersion).orElse(true);
    }

    private synchronized void startWriter() {
        if (writer == null && !stopped && !isWritten()) {
            writer = new Thread(this::writeUntilWritten, "departures");
            writer.setDaemon(true);
            writer.start();
        }
    }

    private void writeUntilWritten() {
        int failures = 0;
        while (hasWork()) {
            try {
                synchronized (storeAccess) {
                    write();
                }
                failures = 0;
            } catch (FuchsiastandException e) {
                if (failures++ == 0) {
                    Logger.warn(
                            "{} the departures of this host were not written: {}",
                            e.code().code(),
                            e.getMessage());
                }
                Pause.sleep(RetryingObjectStore.delay(failures, random));
            }
        }
    }

    // Ends the thread if there is nothing to write, in one step with that check.
    private synchronized boolean hasWork() {
        if (!stopped && !isWritten()) {
            return true;
        }
        writer = null;
        return false;
    }

    private void write() {
        boolean isLoaded;
        synchronized (this) {
            isLoaded = loaded;
        }
        if (!isLoaded) {
            load();
        }
        Record r = record().orElseThrow();
        Content content = new Content(r.getVersion(), read(r));
        try {
            objectVersion = store.put(
                    name, Json.write(content), objectVersion, UUID.randomUUID().toString());
        } catch (FuchsiastandException e) {
            if (e.code() != ErrorCode.CONFLICT) {
                throw e;
            }
            // An earlier attempt, or the process before this one, has written the object.
            synchronized (this) {
                loaded = false;
            }
            return;
        }
        synchronized (this) {
            writtenVersion = r.getVersion();
            notifyAll();
        }
    }

    private void load() {
        long readEra = store.era();
        StoredObject o = store.get(name).orElse(null);
        objectVersion = o == null ? StoredObject.ABSENT : o.version();
        Optional<Content> stored = o == null ? Optional.empty() : parse(o);
        long version = stored.map(Content::version).orElse(0L);
        synchronized (this) {
            loaded = true;
            era = readEra;
            writtenVersion = version;
        }
        stored.ifPresent(c -> adopt(version, c.departures()));
    }

    // The record may already have departures of this process.
    private void adopt(long version, Departures stored) {
        Record own = record().orElse(null);
        if (own == null || own.getVersion() < version) {
            board.putRecord(name, version, Json.write(stored));
            return;
        }
        Departures known = read(own);
        Departures merged = known.merge(stored);
        if (!Set.copyOf(known.processes()).containsAll(merged.processes())) {
            board.putRecord(name, own.getVersion() + 1, Json.write(merged));
        }
    }

    // Returns empty for an object that another program has written.
    private Optional<Content> parse(StoredObject o) {
        try {
            return Optional.of(Json.read(o.value(), Content.class)).filter(c -> c.departures() != null);
        } catch (FuchsiastandException e) {
            Logger.warn("{} the object {} is no record of departures", ErrorCode.CORRUPT.code(), name);
            return Optional.empty();
        }
    }

    private static Departures read(Record r) {
        return Json.read(r.getValue().toByteArray(), Departures.class);
    }
}
