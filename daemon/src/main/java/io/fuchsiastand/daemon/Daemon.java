package io.fuchsiastand.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import io.fuchsiastand.daemon.admin.AdminService;
import io.fuchsiastand.daemon.admin.FleetStatus;
import io.fuchsiastand.daemon.admission.RequestAdmission;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.dispatch.Dispatcher;
import io.fuchsiastand.daemon.dispatch.RetryBudgets;
import io.fuchsiastand.daemon.edge.CallerService;
import io.fuchsiastand.daemon.edge.IdempotencyGuard;
import io.fuchsiastand.daemon.http.CallerConnections;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.daemon.idempotency.IdempotencyController;
import io.fuchsiastand.daemon.limit.LimitClient;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.daemon.limit.TokenController;
import io.fuchsiastand.daemon.membership.DirectoryController;
import io.fuchsiastand.daemon.membership.GossipController;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.daemon.owner.BackendController;
import io.fuchsiastand.daemon.owner.OwnerService;
import io.fuchsiastand.daemon.owner.SlotAdmission;
import io.fuchsiastand.daemon.store.ConfigurationController;
import io.fuchsiastand.daemon.store.ConfigurationWatch;
import io.fuchsiastand.daemon.store.DeparturesController;
import io.fuchsiastand.daemon.store.JoinController;
import io.fuchsiastand.daemon.store.KeyController;
import io.fuchsiastand.daemon.store.PlatformController;
import io.fuchsiastand.daemon.store.TokenIssuersController;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.limit.IssueLease;
import io.fuchsiastand.membership.Gossip;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.time.Clock;
import io.grpc.Server;
import io.servicetalk.transport.api.ServerContext;
import org.tinylog.Logger;

/**
 * A daemon with its servers, its controllers and their threads. Only this class writes the lifecycle section of the
 * {@link Blackboard}.
 */
public final class Daemon implements AutoCloseable {

    private static final Duration READY_CHECK_PERIOD = Duration.ofMillis(100);
    // Callers and peers receive notice of the drain within this time.
    private static final Duration DRAIN_NOTICE_TIME = Duration.ofMillis(2300);
    // The part of the grace period that remains for leaving the fleet after the wait for the last call.
    private static final Duration LEAVE_TIME = Duration.ofMillis(700);
    // Peers receive notice that this daemon has left within this time.
    private static final Duration LEAVE_NOTICE_TIME = Duration.ofMillis(150);
    private static final Duration MAX_CLOSE_TIME = Duration.ofMillis(150);
    private static final Duration POLL_PERIOD = Duration.ofMillis(50);

    private final Blackboard board;
    private final Transport transport;
    private final Peers peers;
    private final ConfigurationController configuration;
    private final GossipController gossip;
    private final BackendController backends;
    private final LimitController limits;
    private final IdempotencyController idempotency;
    private final PlatformController platform;
    private final CallerService callerService;
    private final CallerConnections callerConnections;
    private final OwnerService owner;
    private final Metrics metrics = new Metrics();
    private final ObjectStore store;
    private final JoinController join;
    private final DeparturesController departures;
    private final TokenController tokens;
    private final TokenIssuersController tokenIssuers;
    // Present if the deployment has a configuration source. If so, the daemon enforces rate limits with
    // tokens and does not track idempotency keys. Otherwise it enforces them with leases of shards and tracks the keys.
    private final Optional<ConfigurationWatch> configurationWatch;
    private final Deployment deployment;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(r -> createThread(r, "control"));
    private final List<Thread> platformThreads = new ArrayList<>();
    private final List<ServerContext> servers = new ArrayList<>();
    private final ServerContext callerServer;
    private final Server peerServer;

    /**
     * Starts a daemon with {@link Deployment#DEFAULT}.
     *
     * @param settings the settings
     */
    public Daemon(Settings settings) {
        this(settings, Deployment.DEFAULT, Clock.system());
    }

    /**
     * Starts a daemon in a given environment.
     *
     * @param settings the settings
     * @param deployment the parts of the daemon that depend on the environment
     */
    public Daemon(Settings settings, Deployment deployment) {
        this(settings, deployment, Clock.system());
    }

    Daemon(Settings settings, Deployment deployment, Clock clock) {
        this.deployment = deployment;
        HeaderConventions conventions = deployment.headerConventions();
        board = new Blackboard(settings, settings.ports(), clock);
        callerConnections = new CallerConnections(settings.memory().connections());
        transport = new Transport(settings.tls(), settings.memory());
        peers = new Peers(transport, clock, this::recordPeerBytes);
        configuration = new ConfigurationController(board);
        gossip = new GossipController(board, peers, configuration::missingChunks);
        store = deployment.store().apply(settings);
        departures = new DeparturesController(board, store);
        backends = new BackendController(board, transport, departures::awaitWritten);
        limits = new LimitController(board, peers);
        LimitClient limitClient = new LimitClient(board, peers, limits);
        idempotency = new IdempotencyController(board, peers, limits);
        IssueLease issueLease = new IssueLease(clock);
        tokens = new TokenController(board, peers, transport.timer(), issueLease);
        tokenIssuers = new TokenIssuersController(board, store, tokens::setIssueShares, issueLease, gossip::isAlone);
        configurationWatch = deployment.configuration().map(c -> new ConfigurationWatch(board, c.apply(settings)));
        join = new JoinController(board, store, gossip, this::useStore);
        platform = new PlatformController(board, store, limits, configuration::missingChunks);
        RequestLog log = new RequestLog(clock);
        owner = createOwner(conventions, log);
        RetryBudgets retryBudgets = new RetryBudgets(board, peers, backends::retryShare);
        Dispatcher dispatcher = new Dispatcher(board, peers, owner, metrics, conventions, log, retryBudgets, transport);
        IdempotencyGuard idempotencyGuard =
                new IdempotencyGuard(idempotency, limits, settings.host(), dispatcher::dispatch);
        callerService = new CallerService(
                board,
                configurationWatch.isPresent() ? tokens : limitClient,
                configurationWatch.isPresent() ? dispatcher::dispatch : idempotencyGuard::run,
                metrics,
                conventions,
                log);
        startControllers();
        Settings.Ports p = settings.ports();
        peerServer = transport.peerServer(
                p.peer(), new PeerServer(gossip, limits, limitClient, idempotency, tokens, retryBudgets));
        servers.add(transport.dataServer(p.data(), owner));
        AdminService admin = new AdminService(board, backends, metrics, this::status);
        servers.add(transport.blockingServer(p.admin(), admin));
        if (p.ready() != 0) {
            servers.add(transport.blockingServer(p.ready(), admin));
        }
        deployment
                .announcements()
                .ifPresent(a -> servers.add(transport.blockingServer(p.announcements(), a.apply(backends))));
        callerServer = transport.callerServer(
                p.callers(),
                callerService,
                () -> board.configuration().get().configuration().limits(),
                clock,
                callerConnections);
        startThreads();
        Logger.info(
                "host {} in data centre {} listens for callers on port {}",
                settings.host(),
                settings.dataCentre(),
                p.callers());
    }

    /**
     * Returns the state of the fleet as this daemon sees it.
     *
     * @return the status
     */
    public FleetStatus status() {
        return FleetStatus.of(board, limits, backends.all(), platform.isRelay(), callerService.inFlight());
    }

    /**
     * Drains the daemon and the backend servers of this host. Stops new calls to these backend servers, releases the
     * leases of the daemon to its partners, and lets callers and peers receive notice of the drain. Then refuses new calls,
     * finishes the calls in flight and leaves the fleet. If this host has no backend server left, also removes the objects
     * of this host from the store. At last closes the connections of callers.
     *
     * <p>Waits for calls in flight and for the store at most until the grace period of the settings, less the time needed to
     * leave the fleet, is over.
     */
    public void drain() {
        long start = board.clock().nanoTime();
        long end = start + board.settings().rules().grace().minus(LEAVE_TIME).toNanos();
        board.lifecycle().set(Lifecycle.DRAINING);
        Logger.info("draining");
        backends.drainAll();
        limits.release();
        // Peers receive notice of the drain by gossip. The daemon still runs the calls that they sent before that.
        sleepUntil(start + DRAIN_NOTICE_TIME.toNanos());
        board.lifecycle().set(Lifecycle.LEAVING);
        join.stop();
        Optional<Thread> storeLeave = Optional.empty();
        boolean busy = true;
        while (busy && board.clock().nanoTime() - end < 0) {
            if (storeLeave.isEmpty() && backends.all().isEmpty()) {
                storeLeave = Optional.of(createThread(this::leaveStore, "leave-store"));
                storeLeave.get().start();
            }
            busy = hasCallsInFlight() || storeLeave.filter(Thread::isAlive).isPresent();
            if (busy) {
                sleep(POLL_PERIOD);
            }
        }
        backends.refuseWaitingCalls();
        gossip.leave();
        platform.stop();
        sleep(LEAVE_NOTICE_TIME);
        callerConnections.close(MAX_CLOSE_TIME);
        Logger.info("drained");
    }

    // Only called when no backend server is left on this host: such a host is not expected to return, whereas a
    // daemon that is only restarted returns and keeps its objects in the store.
    private void leaveStore() {
        try {
            if (configurationWatch.isPresent()) {
                tokenIssuers.leave();
            }
            join.leave();
        } catch (FuchsiastandException e) {
            Logger.warn(
                    "{} the objects of this host in the store were not removed: {}",
                    e.code().code(),
                    e.getMessage());
        }
    }

    private void useStore() {
        departures.tick(join.isNewHost());
        if (configurationWatch.isPresent()) {
            tokenIssuers.tick(join.isNewHost());
        }
    }

    /** Stops the daemon at once, without a drain. */
    @Override
    public void close() {
        platform.stop();
        join.stop();
        departures.stop();
        configurationWatch.ifPresent(ConfigurationWatch::stop);
        timer.shutdownNow();
        platformThreads.forEach(Thread::interrupt);
        callerServer.closeAsync().subscribe();
        servers.forEach(s -> s.closeAsync().subscribe());
        peerServer.shutdownNow();
        peers.close();
        transport.close();
        store.close();
    }

    boolean areIdempotencyKeysHandedOver() {
        return idempotency.isTransferComplete();
    }

    private OwnerService createOwner(HeaderConventions conventions, RequestLog log) {
        Settings settings = board.settings();
        RequestAdmission admission =
                new RequestAdmission(settings.scheduling().admission(), board.clock(), conventions, log, metrics);
        return new OwnerService(
                backends::find,
                backends::leave,
                board.clock(),
                settings.host(),
                conventions,
                log,
                new SlotAdmission(
                        board.clock(),
                        conventions,
                        log,
                        metrics,
                        admission,
                        transport.timer(),
                        RandomGenerator.getDefault(),
                        settings.memory().backendRequestBytes()),
                transport);
    }

    private void startControllers() {
        configuration.start();
        new KeyController(board).start();
        new DirectoryController(board, peers).start();
        backends.start();
        departures.start();
        limits.start();
        tokenIssuers.start();
        metrics.registerGauge("fuchsiastand_in_flight", callerService::inFlight);
        metrics.registerGauge("fuchsiastand_unfinished_bytes", transport.buffer()::heldBytes);
        metrics.registerGauge("fuchsiastand_unread_bytes", transport.readAhead()::unreadBytes);
        metrics.registerGauge("fuchsiastand_backend_request_bytes", backends::maxRequestBytes);
        metrics.registerCounter("fuchsiastand_responses_unread", transport.readAhead()::stalls);
        metrics.registerCounter("fuchsiastand_connections_dropped", transport.buffer()::drops);
        metrics.registerGauge("fuchsiastand_caller_connections", callerConnections::size);
        metrics.registerCounter("fuchsiastand_connections_closed_for_room", callerConnections::closedForRoom);
        metrics.registerGauge("fuchsiastand_members", board::fleetSize);
        metrics.registerGaugeByService("fuchsiastand_expected_busy_ms", backends::expectedBusyMillis);
        metrics.registerGaugeByService("fuchsiastand_expected_work_error", backends::expectedWorkError);
        metrics.registerGauge(
                "fuchsiastand_configuration_version",
                () -> board.configuration().get().configuration().version());
    }

    private void startThreads() {
        // Work of the same period shares its wake-ups.
        List<Runnable> frequent = new ArrayList<>(List.of(gossip::tick, backends::tick));
        if (configurationWatch.isPresent()) {
            frequent.add(tokenIssuers::renewLease);
            frequent.add(tokens::tick);
        }
        scheduleWithFixedDelay(Gossip.TICK_PERIOD, frequent);
        AtomicReference<Future<?>> readyCheck = new AtomicReference<>();
        readyCheck.set(scheduleWithFixedDelay(READY_CHECK_PERIOD, List.of(() -> {
            checkReady();
            if (board.lifecycle().get() != Lifecycle.STARTING && readyCheck.get() != null) {
                readyCheck.get().cancel(false);
            }
        })));
        platformThreads.add(createThread(join::run, "join"));
        if (configurationWatch.isPresent()) {
            platformThreads.add(createThread(configurationWatch.get()::run, "configuration-watch"));
        } else {
            scheduleWithFixedDelay(IdempotencyController.TICK_PERIOD, List.of(idempotency::tick));
            scheduleWithFixedDelay(LimitController.TICK_PERIOD, List.of(limits::tick));
            platformThreads.add(createThread(platform::watchLoop, "platform-watch"));
            platformThreads.add(createThread(platform::writeLoop, "platform-write"));
        }
        platformThreads.forEach(Thread::start);
    }

    private void checkReady() {
        boolean initialized = board.configuration().get().configuration().version() > 0
                && (platform.isLoaded() || configurationWatch.isPresent() || gossip.isSynced());
        if (board.lifecycle().get() == Lifecycle.STARTING && initialized) {
            board.lifecycle().set(Lifecycle.READY);
            Logger.info("ready");
        }
    }

    private boolean hasCallsInFlight() {
        return callerService.inFlight() > 0 || owner.inFlight() > 0;
    }

    private Future<?> scheduleWithFixedDelay(Duration period, List<Runnable> work) {
        Runnable guarded = () -> work.forEach(w -> {
            try {
                w.run();
            } catch (RuntimeException e) {
                Logger.error(e, "a periodic task failed; it runs again after its period");
            }
        });
        return timer.scheduleWithFixedDelay(guarded, 0, period.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void recordPeerBytes(String kind, String dataCentre, long bytes) {
        String place = dataCentre.equals(board.settings().dataCentre()) ? "same" : "other";
        metrics.recordPeerBytes(kind, dataCentre.isEmpty() ? "unknown" : place, bytes);
    }

    private static Thread createThread(Runnable work, String name) {
        Thread t = new Thread(work, name);
        t.setDaemon(true);
        return t;
    }

    private void sleepUntil(long nanoTime) {
        sleep(Duration.ofNanos(Math.max(0, nanoTime - board.clock().nanoTime())));
    }

    private static void sleep(Duration wait) {
        try {
            Thread.sleep(wait.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
