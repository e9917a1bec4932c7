package io.fuchsiastand.daemon.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.routing.Departures;
import io.fuchsiastand.routing.HostRecord;
import org.tinylog.Logger;

/**
 * Manages the backend servers of this host and publishes their descriptions to the fleet. It reads the configuration and
 * is the only writer of the record of this host.
 */
public final class BackendController {

    // Low bits of a record version that hold the sequence number; the bits above hold the start time of the daemon.
    private static final int SEQUENCE_BITS = 20;
    // Number of unregistered processes for which late announcements are still refused.
    private static final int MAX_UNREGISTERED = Departures.MAX_PROCESSES;

    private final Blackboard board;
    private final Transport transport;
    private final Runnable departuresBarrier;
    private final Map<String, LocalBackend> backends = new ConcurrentHashMap<>();
    // The start time of each unregistered process by the name of its backend server, the oldest entry first.
    private final Map<String, Long> unregistered = newBoundedMap();
    // The same for the processes that have left or are about to, as far as they have a start time. Published to the
    // fleet.
    private final Map<String, Long> departed = newBoundedMap();
    private long departuresVersion;
    // Whether the daemon drains. It then takes no new calls to any backend server of this host.
    private boolean draining;
    private List<BackendServer> published = List.of();
    private long sequence;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param transport creates the clients that connect to backend servers
     * @param departuresBarrier waits for a limited time until the published departures are in the store; called without a lock
     *     before a departure is acknowledged
     */
    public BackendController(Blackboard board, Transport transport, Runnable departuresBarrier) {
        this.board = board;
        this.transport = transport;
        this.departuresBarrier = departuresBarrier;
    }

    private static Map<String, Long> newBoundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MAX_UNREGISTERED;
            }
        };
    }

    /** Starts to listen for the departures that an earlier process of this daemon published. Peers send them. */
    public void start() {
        String name = Departures.PREFIX + board.settings().host();
        board.records().listen(r -> {
            if (!r.getName().equals(name)) {
                return;
            }
            try {
                adoptDepartures(r);
            } catch (FuchsiastandException e) {
                Logger.error(e, "the record {} cannot be read", name);
            }
        });
    }

    private void adoptDepartures(Record r) {
        List<Departures.Process> processes =
                Json.read(r.getValue().toByteArray(), Departures.class).processes();
        change(callbacks -> {
            departuresVersion = Math.max(departuresVersion, r.getVersion());
            for (Departures.Process p : processes) {
                if (departed.getOrDefault(p.id(), 0L) < p.incarnation()) {
                    departed.put(p.id(), p.incarnation());
                    unregistered.merge(p.id(), p.incarnation(), Math::max);
                    LocalBackend b = backends.get(p.id());
                    if (b != null && b.announcement().born() <= p.incarnation()) {
                        remove(b, callbacks);
                        Logger.info("backend server {} had left before this daemon started", p.id());
                    }
                }
            }
            return publish(callbacks);
        });
    }

    /**
     * Finds a backend server of this host.
     *
     * @param id its name
     * @return the backend server, or empty if no backend server of this name is on this host
     */
    public Optional<LocalBackend> find(String id) {
        return Optional.ofNullable(backends.get(id));
    }

    /**
     * Returns the backend servers of this host.
     *
     * @return the backend servers
     */
    public List<LocalBackend> all() {
        return List.copyOf(backends.values());
    }

    /**
     * Applies an announcement. An announcement replaces the backend server of the same name if it has another address,
     * port, service or number of slots, if it comes from a process that started later, or if it has no start time while
     * that backend server drains. Only one process of a host can listen on an address and port, so it also replaces any
     * other backend server there.
     *
     * @param a the announcement
     * @return false if the announcement is outdated: its sender has been unregistered, the sender has sent a newer
     *     announcement, or a process that started later uses its name or address
     */
    public boolean announce(LocalBackend.Announcement a) {
        boolean accepted = change(callbacks -> announce(a, callbacks));
        if (a.draining()) {
            departuresBarrier.run();
        }
        return accepted;
    }

    private boolean announce(LocalBackend.Announcement a, List<Runnable> callbacks) {
        if (isOutdated(a)) {
            Logger.info(
                    "ignored an outdated announcement of backend server {}: born {}, sequence {}",
                    a.id(),
                    a.born(),
                    a.sequence());
            return false;
        }
        LocalBackend known = backends.get(a.id());
        if (known != null && known.isLeaving() && a.born() == 0 && hasSameAddress(known, a)) {
            // It may come from the process that leaves or from a new one. Until the announcement of the first expires,
            // it counts as that of the process that leaves.
            return true;
        }
        if (known != null && isRenewal(known, a)) {
            known.renew(a);
            if (a.draining()) {
                drain(known, callbacks);
            }
            return true;
        }
        backends.values().stream()
                .filter(b -> b == known || hasSameAddress(b, a))
                .toList()
                .forEach(b -> remove(b, callbacks));
        LocalBackend added = new LocalBackend(
                a,
                service(a.service()),
                transport.backendClient(a.address(), a.port()),
                board.clock(),
                board.settings().scheduling());
        backends.put(a.id(), added);
        Logger.info("added backend server {} of service {}, born {}", a.id(), a.service(), a.born());
        if (a.draining() || draining) {
            added.health().drain(board.clock().nanoTime());
        }
        if (a.draining()) {
            recordDeparture(a.id(), a.born(), callbacks);
        }
        publish(callbacks);
        return true;
    }

    private boolean isOutdated(LocalBackend.Announcement a) {
        Long unregisteredBorn = unregistered.get(a.id());
        if (unregisteredBorn != null && a.born() <= unregisteredBorn) {
            return a.born() != 0 || unregisteredBorn != 0;
        }
        return backends.values().stream()
                .filter(b -> b.announcement().id().equals(a.id()) || hasSameAddress(b, a))
                .anyMatch(b -> a.isOlderThan(b.announcement()));
    }

    private static boolean hasSameAddress(LocalBackend b, LocalBackend.Announcement a) {
        LocalBackend.Announcement k = b.announcement();
        return k.address().equals(a.address()) && k.port() == a.port();
    }

    /**
     * Stops new calls to a backend server. Calls in its queue are refused and reported as not run.
     *
     * @param id its name
     * @return false if no backend server of this name is on this host
     */
    public boolean drain(String id) {
        return change(callbacks -> {
            LocalBackend b = backends.get(id);
            if (b != null) {
                drain(b, callbacks);
            }
            return b != null;
        });
    }

    private void drain(LocalBackend b, List<Runnable> callbacks) {
        if (b.health().state() != BackendState.DRAINING) {
            stopNewCalls(b, callbacks);
            Logger.info("backend server {} is draining", b.announcement().id());
        }
    }

    /**
     * Stops new calls to a backend server that states in a response that it is about to leave, as {@link #drain} does.
     *
     * @param b the backend server
     */
    public void leave(LocalBackend b) {
        change(callbacks -> {
            boolean first = !b.isLeaving();
            if (first) {
                b.recordLeaving();
                stopNewCalls(b, callbacks);
                Logger.info(
                        "backend server {} states that it is about to leave",
                        b.announcement().id());
            }
            return first;
        });
    }

    private void stopNewCalls(LocalBackend b, List<Runnable> callbacks) {
        recordDeparture(b.announcement().id(), b.announcement().born(), callbacks);
        b.health().drain(board.clock().nanoTime());
        callbacks.add(() -> b.queue().refuseAll(ErrorCode.NO_BACKEND));
        publish(callbacks);
    }

    /**
     * Removes a backend server, no matter when its process started.
     *
     * @param id its name
     * @return false if no backend server of this name is on this host
     */
    public boolean unregister(String id) {
        return unregister(id, 0);
    }

    /**
     * Removes a backend server. From now on, announcements of the same or an earlier process are refused, even if this
     * daemon has received no announcement of it yet. They are not refused if neither they nor the removed process have a
     * start time. The daemon remembers only a limited number of removed backend servers.
     *
     * @param id its name
     * @param born start time of its process in milliseconds since 1970, or 0 if it does not report one
     * @return false if no backend server of this name is on this host, or if its process started after {@code born}
     */
    public boolean unregister(String id, long born) {
        boolean removed = change(callbacks -> unregister(id, born, callbacks));
        departuresBarrier.run();
        return removed;
    }

    private boolean unregister(String id, long born, List<Runnable> callbacks) {
        LocalBackend b = backends.get(id);
        if (b != null && born != 0 && b.announcement().born() > born) {
            return false;
        }
        long departedBorn = b == null ? born : b.announcement().born();
        unregistered.put(id, departedBorn);
        recordDeparture(id, departedBorn, callbacks);
        if (b == null) {
            return false;
        }
        remove(b, callbacks);
        Logger.info("backend server {} is unregistered", id);
        publish(callbacks);
        return true;
    }

    /**
     * Returns the share of retries among the calls in flight on backend servers of this host.
     *
     * @return from 0 to 1
     */
    public double retryShare() {
        int calls = 0;
        int retries = 0;
        for (LocalBackend b : backends.values()) {
            calls += b.callsInFlight();
            retries += b.retriesInFlight();
        }
        return calls == 0 ? 0 : (double) retries / calls;
    }

    /**
     * Returns the bodies in flight to the backend server that has the most.
     *
     * @return the size in bytes
     */
    public long maxRequestBytes() {
        return backends.values().stream()
                .mapToLong(b -> b.work().requestBytes().heldBytes())
                .max()
                .orElse(0);
    }

    /**
     * Returns the time for which the slots of the busiest backend server of each service on this host are expected to be busy.
     *
     * @return milliseconds by service
     */
    public Map<String, Double> expectedBusyMillis() {
        return maxByService(LocalBackend::busyMillis);
    }

    /**
     * Returns the largest mean relative error of the work that was expected of calls to a backend server of each service on this
     * host.
     *
     * @return the error by service, as a share of the expected work
     */
    public Map<String, Double> expectedWorkError() {
        return maxByService(b -> b.work().estimates().relativeError());
    }

    private Map<String, Double> maxByService(ToDoubleFunction<LocalBackend> value) {
        return backends.values().stream()
                .collect(Collectors.toMap(b -> b.announcement().service(), value::applyAsDouble, Math::max));
    }

    /** Updates the health of all backend servers, removes expired ones and publishes changes. Called periodically. */
    public void tick() {
        change(callbacks -> {
            long now = board.clock().nanoTime();
            for (LocalBackend b : List.copyOf(backends.values())) {
                b.tick(now);
                if (b.isExpired(now)) {
                    Logger.warn(
                            "removing backend server {}: its announcement has expired",
                            b.announcement().id());
                    remove(b, callbacks);
                }
            }
            return publish(callbacks);
        });
    }

    /**
     * Stops new calls to all backend servers of this host, also to those that announce themselves later. Calls in the queues
     * still run, unlike after {@link #drain}.
     */
    public void drainAll() {
        change(callbacks -> {
            draining = true;
            backends.values().forEach(b -> b.health().drain(board.clock().nanoTime()));
            return publish(callbacks);
        });
    }

    /** Refuses the calls that wait for a slot of a backend server of this host, because the daemon ends. */
    public void refuseWaitingCalls() {
        backends.values().forEach(b -> b.queue().refuseAll(ErrorCode.DRAINING));
    }

    // Without a start time, a process cannot be told from the next one of the same name.
    private void recordDeparture(String id, long born, List<Runnable> callbacks) {
        if (born == 0 || departed.getOrDefault(id, 0L) >= born) {
            return;
        }
        departed.put(id, born);
        departuresVersion = Math.max(departuresVersion + 1, board.startMillis() << SEQUENCE_BITS);
        String host = board.settings().host();
        List<Departures.Process> processes = departed.entrySet().stream()
                .map(e -> new Departures.Process(e.getKey(), e.getValue()))
                .toList();
        Record r = RecordStore.record(
                Departures.PREFIX + host, departuresVersion, Json.write(new Departures(host, processes)));
        callbacks.add(() -> board.records().put(r));
    }

    // Calls listeners of records and callers without the lock. They may wait for a lock whose owner waits for this one.
    private boolean change(Predicate<List<Runnable>> change) {
        List<Runnable> callbacks = new ArrayList<>();
        boolean out;
        synchronized (this) {
            out = change.test(callbacks);
        }
        callbacks.forEach(Runnable::run);
        return out;
    }

    // Publishes the record of this host and returns true if a description has changed.
    private boolean publish(List<Runnable> callbacks) {
        long now = board.clock().nanoTime();
        List<BackendServer> current = backends.values().stream()
                .map(b -> b.describe(now))
                .sorted(Comparator.comparing(BackendServer::id))
                .toList();
        if (current.equals(published)) {
            return false;
        }
        logEjections(current);
        published = current;
        sequence++;
        String host = board.settings().host();
        Record r = RecordStore.record(
                HostRecord.PREFIX + host,
                (board.startMillis() << SEQUENCE_BITS) + sequence,
                Json.write(new HostRecord(host, current)));
        callbacks.add(() -> board.records().put(r));
        return true;
    }

    private void logEjections(List<BackendServer> current) {
        for (BackendServer s : current) {
            boolean wasEjected =
                    published.stream().anyMatch(p -> p.id().equals(s.id()) && p.state() == BackendState.EJECTED);
            boolean ejected = s.state() == BackendState.EJECTED;
            if (ejected && !wasEjected) {
                Logger.warn(
                        "backend server {} is ejected, {} percent of its calls failed or were slow",
                        s.id(),
                        s.severity());
            } else if (!ejected && wasEjected) {
                Logger.info("backend server {} is no longer ejected", s.id());
            }
        }
    }

    private void remove(LocalBackend b, List<Runnable> callbacks) {
        backends.remove(b.announcement().id());
        b.health().drain(board.clock().nanoTime());
        callbacks.add(() -> b.queue().refuseAll(ErrorCode.NO_BACKEND));
        b.client().closeAsyncGracefully().subscribe();
    }

    // While a backend server drains, an announcement without a start time counts as that of a new process.
    private static boolean isRenewal(LocalBackend known, LocalBackend.Announcement a) {
        LocalBackend.Announcement k = known.announcement();
        return (a.born() != 0 ? k.born() == a.born() : known.health().state() != BackendState.DRAINING)
                && k.service().equals(a.service())
                && k.address().equals(a.address())
                && k.port() == a.port()
                && k.slots() == a.slots();
    }

    private Service service(String name) {
        Service known = board.configuration().get().configuration().services().get(name);
        return known != null
                ? known
                : new Service(
                        name,
                        Service.DEFAULT_FLOOR,
                        Service.DEFAULT_TIMEOUT,
                        Service.DEFAULT_QUEUE,
                        Detection.CAREFUL,
                        List.of());
    }
}
