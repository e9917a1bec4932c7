package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.membership.GossipController;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.routing.Departures;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.RetryingObjectStore;
import io.fuchsiastand.store.StoredObject;
import io.netty.util.NetUtil;
import org.tinylog.Logger;

/**
 * Writes the join record of this host to the object store and reads the join records of other hosts, so that a daemon
 * finds the fleet when it starts. After that, the daemon receives changes of the fleet by gossip, and this controller
 * reads the store at growing intervals. One daemon of the fleet, which rendezvous hashing selects, also deletes the join
 * records of hosts that have been dead for longer than {@code MIN_DEAD_TIME}.
 *
 * <p>When the store comes back with older objects, each daemon writes its join record again if it is lost.
 */
public final class JoinController {

    /** Prefix of the names of the objects that hold join records. */
    public static final String NAME_PREFIX = "members/";

    private static final Duration INITIAL_INTERVAL = Duration.ofMillis(700);
    private static final Duration MAX_INTERVAL = Duration.ofMinutes(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_BACKOFF_STEP = 20;
    // A daemon that has read no join records yet may know no other daemon, and so no backend server of another host.
    private static final int MAX_BACKOFF_STEP_BEFORE_JOIN = 4;
    private static final Duration MIN_DEAD_TIME = Duration.ofMinutes(5);

    private final Blackboard board;
    private final ObjectStore store;
    private final GossipController gossip;
    private final Runnable storeTask;
    private final SplittableRandom random = new SplittableRandom();
    private final Set<String> removedIncarnations = new HashSet<>();
    // The names of the objects among the join records that were no join records when the list was last read.
    private Set<String> ignoredObjects = Set.of();
    private volatile boolean running = true;
    private volatile boolean loaded;
    private boolean recordWritten;
    private volatile boolean newHost;
    // Whether the list of join records, as it was last read, has the record of this host.
    private boolean recordFound;
    // The era of the store before the join record was last written or found in it.
    private long recordEra;

    /**
     * The join record of a host.
     *
     * @param host the name of the host
     * @param address the IP address of the host
     * @param peerPort the port for control traffic
     */
    public record JoinRecord(String host, String address, int peerPort) {

        // Explicit, because the generated methods of a record are linked at run time, which is costly at each start.
        @Override
        public boolean equals(Object other) {
            return other instanceof JoinRecord j
                    && Objects.equals(host, j.host)
                    && Objects.equals(address, j.address)
                    && peerPort == j.peerPort;
        }

        @Override
        public int hashCode() {
            return 31 * Objects.hashCode(host) + peerPort;
        }

        private boolean isValid() {
            return host != null
                    && !host.isEmpty()
                    && address != null
                    && (NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address))
                    && peerPort >= 1
                    && peerPort <= Settings.MAX_PORT;
        }
    }

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param store the object store
     * @param gossip receives the addresses in the join records of other hosts as seeds
     * @param storeTask a task that also uses the store when needed, such as {@link TokenIssuersController#tick}; runs each time
     *     after the join records were read, and every {@code POLL_INTERVAL} in between
     */
    public JoinController(Blackboard board, ObjectStore store, GossipController gossip, Runnable storeTask) {
        this.storeTask = storeTask;
        this.board = board;
        this.store = store;
        this.gossip = gossip;
    }

    /**
     * Writes the join record. Then, at growing intervals until {@link #stop} is called, reads the join records of other
     * hosts, deletes those of dead hosts and runs the store task. Blocks; runs on a thread of its own.
     */
    public void run() {
        int failures = 0;
        Duration interval = INITIAL_INTERVAL;
        while (running) {
            try {
                exchangeRecords();
                if (failures > 0) {
                    Logger.info("the object store answers again after {} failures", failures);
                }
                failures = 0;
                interval =
                        sleepUnlessRestored(interval) ? min(interval.multipliedBy(2), MAX_INTERVAL) : INITIAL_INTERVAL;
            } catch (FuchsiastandException e) {
                if (failures++ == 0) {
                    Logger.warn(
                            "{} reading from or writing to the object store failed: {}",
                            e.code().code(),
                            e.getMessage());
                }
                Pause.sleep(RetryingObjectStore.delay(Math.min(failures, maxBackoffStep()), random));
            } catch (RuntimeException e) {
                if (failures++ == 0) {
                    Logger.error(e, "an error in the daemon interrupted its work with the object store");
                }
                Pause.sleep(RetryingObjectStore.delay(Math.min(failures, maxBackoffStep()), random));
            }
        }
    }

    private int maxBackoffStep() {
        return loaded ? MAX_BACKOFF_STEP : MAX_BACKOFF_STEP_BEFORE_JOIN;
    }

    // A restarted daemon usually finds the join record of the process before it, and need not write it again.
    void exchangeRecords() {
        readJoinRecords();
        if (writeJoinRecord()) {
            readJoinRecords();
        }
        removeJoinRecordsOfDeadHosts();
        storeTask.run();
    }

    /** Stops the loop after the round in progress. */
    public void stop() {
        running = false;
    }

    /**
     * Returns whether the join records have been read since the start.
     *
     * @return true once they have been read
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns whether the store had no join record of this host when this process started, so that no process of the host can
     * have written other objects there lately.
     *
     * @return true if this process has created the record
     */
    public boolean isNewHost() {
        return newHost;
    }

    /** Deletes the join record of this host. */
    public void leave() {
        try {
            String name = NAME_PREFIX + board.settings().host();
            delete(name);
        } catch (FuchsiastandException e) {
            Logger.warn("the join record of this host cannot be deleted: {}", e.getMessage());
        }
    }

    // Returns false if the store came back with older objects during the interval.
    private boolean sleepUnlessRestored(Duration interval) {
        long end = board.clock().nanoTime() + interval.toNanos();
        while (running && board.clock().nanoTime() - end < 0) {
            if (store.era() != recordEra) {
                return false;
            }
            Pause.sleep(POLL_INTERVAL);
            if (running) {
                storeTask.run();
            }
        }
        return true;
    }

    // Returns whether the record was written.
    private boolean writeJoinRecord() {
        long era = store.era();
        if (recordFound) {
            recordWritten = true;
            recordEra = era;
            return false;
        }
        if (recordWritten && era == recordEra) {
            return false;
        }
        Member self = board.members().self();
        String name = NAME_PREFIX + self.host();
        if (recordWritten && store.get(name).isPresent()) {
            recordEra = era;
            return false;
        }
        byte[] value = Json.write(ownRecord());
        try {
            store.put(name, value, StoredObject.ABSENT, UUID.randomUUID().toString());
            newHost = !recordWritten;
        } catch (FuchsiastandException e) {
            if (e.code() != ErrorCode.CONFLICT) {
                throw e;
            }
            replace(name, value);
        }
        recordWritten = true;
        recordEra = era;
        return true;
    }

    private JoinRecord ownRecord() {
        Member self = board.members().self();
        return new JoinRecord(self.host(), self.address(), self.peerPort());
    }

    // Replaces the record that an earlier process of this host left, unless it is the same, as it usually is.
    private void replace(String name, byte[] value) {
        StoredObject o = store.get(name).orElse(null);
        if (o != null && !Arrays.equals(o.value(), value)) {
            store.put(name, value, o.version(), UUID.randomUUID().toString());
        }
    }

    private void readJoinRecords() {
        List<JoinRecord> records = new ArrayList<>();
        Set<String> ignored = new HashSet<>();
        for (StoredObject o : store.list(NAME_PREFIX).objects()) {
            parse(o).ifPresentOrElse(records::add, () -> ignored.add(o.name()));
        }
        if (!ignored.isEmpty() && !ignored.equals(ignoredObjects)) {
            Logger.warn("{} objects that are no join records are ignored: {}", ErrorCode.CORRUPT.code(), ignored);
        }
        ignoredObjects = ignored;
        recordFound = records.contains(ownRecord());
        List<Settings.Endpoint> found = records.stream()
                .filter(j -> !j.host().equals(board.settings().host()))
                .map(j -> new Settings.Endpoint(j.address(), j.peerPort()))
                .toList();
        gossip.addSeeds(found);
        if (!loaded) {
            loaded = true;
            Logger.info("the object store answered; it has join records of {} other hosts", found.size());
        }
    }

    // Returns empty for an object that is no join record, which another program may have written.
    private static Optional<JoinRecord> parse(StoredObject o) {
        try {
            return Optional.of(Json.read(o.value(), JoinRecord.class)).filter(JoinRecord::isValid);
        } catch (FuchsiastandException e) {
            return Optional.empty();
        }
    }

    // Deletes the join records of hosts that crashed and did not return, because these cannot delete them, and the
    // departures
    // of all hosts that did not return.
    private void removeJoinRecordsOfDeadHosts() {
        long now = board.clock().nanoTime();
        boolean responsible = Membership.rendezvousOrder(
                        "clean-up", board.members().reachable())
                .get(0)
                .host()
                .equals(board.settings().host());
        for (Member m : board.members().all()) {
            boolean longGone = !m.isReachable() && now - m.stateSinceNanos() > MIN_DEAD_TIME.toNanos();
            if (responsible && longGone && removedIncarnations.add(m.host() + '@' + m.incarnation())) {
                if (m.state() == MemberState.DEAD) {
                    delete(NAME_PREFIX + m.host());
                }
                delete(Departures.PREFIX + m.host());
            }
        }
    }

    private void delete(String name) {
        store.get(name).ifPresent(o -> store.delete(name, o.version()));
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
