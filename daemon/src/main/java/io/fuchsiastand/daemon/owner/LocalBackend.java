package io.fuchsiastand.daemon.owner;

import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.fuchsiastand.admission.RoomMeter;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.board.Scheduling;
import io.fuchsiastand.health.BackendHealth;
import io.fuchsiastand.health.Baseline;
import io.fuchsiastand.health.FaultCircuitBreaker;
import io.fuchsiastand.health.Outcome;
import io.fuchsiastand.health.TrialPacer;
import io.fuchsiastand.limit.BackendRateLimit;
import io.fuchsiastand.queue.FairQueue;
import io.fuchsiastand.queue.QueueOrder;
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.time.Clock;
import io.servicetalk.http.api.StreamingHttpClient;
import org.tinylog.Logger;

/** A backend server of this host: its announcement, its queue and slots, its health and its calls in flight. */
public final class LocalBackend {

    private static final double OVERDUE_FACTOR = 4;
    private static final double MIN_OVERDUE_MILLIS = 500;
    private static final double NANOS_PER_MILLI = 1e6;
    // Share of the mean time that calls hold a slot. A failure that comes sooner counts as quick: the backend server
    // cannot have done the work by then.
    private static final double QUICK_FAILURE_SHARE = 0.2;
    // A call whose end was not reported this long after its deadline is recorded as cancelled, so that its slot is
    // released. This does not cancel the exchange with the backend server.
    private static final long LEAK_GRACE_NANOS = 5_000_000_000L;
    private static final long EXCLUSION_REPORT_NANOS = 2_000_000_000L;

    private volatile Announcement announcement;
    private final StreamingHttpClient client;
    private final FairQueue queue;
    private final BackendHealth health;
    private final FaultCircuitBreaker circuitBreaker = new FaultCircuitBreaker();
    private final TrialPacer ejectionTrials = new TrialPacer();
    private final RoomMeter roomMeter;
    private final Clock clock;
    private final Map<Long, InFlightCall> calls = new ConcurrentHashMap<>();
    private final long incarnation;
    private final AtomicLong lastCallNumber = new AtomicLong();
    // The newest baseline that a call carried. If the whole service slows down, calls are compared with its new speed.
    private volatile Baseline baseline = Baseline.UNKNOWN;
    private volatile long expiresAt;
    private volatile long lastCallNanos;
    private volatile boolean idleReported;
    private final BackendRateLimit rateLimit = new BackendRateLimit();
    private final BackendWork work;
    // Whether a response of the backend server has named a limit or named none.
    private volatile boolean rateLimitHeard;
    private volatile boolean excessReported;
    private volatile boolean leaving;

    /**
     * The announcement by which a backend server registers itself and renews its registration.
     *
     * @param id the name of the backend server, unique on its host
     * @param service the service it belongs to
     * @param address its IP address
     * @param port its port
     * @param slots maximum number of concurrent calls
     * @param ttlSeconds time after which the announcement expires, in seconds
     * @param draining whether the backend server is about to stop and accepts no new calls
     * @param born start time of its process in milliseconds since 1970, or 0 if it is not given
     * @param sequence number of the announcement, counted from the start of the process, or 0 if it is not given
     */
    public record Announcement(
            String id,
            String service,
            String address,
            int port,
            int slots,
            int ttlSeconds,
            boolean draining,
            long born,
            long sequence) {

        /**
         * Creates an announcement without start time and sequence number of a backend server that is not draining.
         *
         * @param id the name of the backend server, unique on its host
         * @param service the service it belongs to
         * @param address its IP address
         * @param port its port
         * @param slots maximum number of concurrent calls
         * @param ttlSeconds time after which the announcement expires, in seconds
         * @return the announcement
         */
        public static Announcement of(String id, String service, String address, int port, int slots, int ttlSeconds) {
            return new Announcement(id, service, address, port, slots, ttlSeconds, false, 0, 0);
        }

        /**
         * Returns whether this announcement was sent before another one.
         *
         * @param other an announcement of a backend server with the same name or the same address
         * @return true if the sender of this announcement started earlier, or if the same process sent the other one
         *     later
         */
        public boolean isOlderThan(Announcement other) {
            return born != other.born ? born < other.born : id.equals(other.id) && sequence < other.sequence;
        }
    }

    /** A call in flight. */
    public final class InFlightCall {
        private final long number = lastCallNumber.incrementAndGet();
        private final FairQueue.Permit permit;
        private final long startNanos = clock.nanoTime();
        private final BackendCall call;
        // Time from the start to the head of the response, or 0 before it has arrived.
        private volatile double headMillis;
        private volatile boolean answered;
        private boolean recorded;
        private boolean ended;

        private InFlightCall(FairQueue.Permit permit, BackendCall call) {
            this.permit = permit;
            this.call = call;
        }

        /**
         * Ends the call, records its outcome and releases its slot. Only the first invocation has an effect. If the call was
         * already recorded as overdue, its outcome does not change the health of the backend server.
         *
         * @param outcome the outcome as evidence about the backend server
         */
        public void end(Outcome outcome) {
            synchronized (this) {
                if (ended) {
                    return;
                }
                ended = true;
            }
            calls.remove(number);
            if (call.trial()) {
                ejectionTrials.record(outcome);
            }
            recordOutcome(outcome);
            if (outcome == Outcome.SUCCESS && answered) {
                work.learn(call.kind(), elapsedMillis());
            }
            if (outcome == Outcome.SUCCESS) {
                circuitBreaker.recordSuccess(clock.nanoTime());
            } else if (outcome != Outcome.FAILURE) {
                circuitBreaker.recordNoResult();
            }
            permit.release();
        }

        /**
         * Ends a call that was given up while the backend server sent its response. After its deadline, that is a failure of the
         * backend server, as if the time limit of this daemon had ended it.
         */
        public void endGivenUp() {
            end(clock.nanoTime() - call.deadline() >= 0 ? Outcome.FAILURE : Outcome.CANCELLED);
        }

        /**
         * Returns the time since the call was started.
         *
         * @return milliseconds
         */
        public double elapsedMillis() {
            return (clock.nanoTime() - startNanos) / NANOS_PER_MILLI;
        }

        private FaultCircuitBreaker.FailureTiming failureTiming() {
            if (clock.nanoTime() - call.deadline() >= 0) {
                return FaultCircuitBreaker.FailureTiming.SILENT;
            }
            boolean quick = elapsedMillis() < QUICK_FAILURE_SHARE * queue.meanHoldMillis();
            return quick ? FaultCircuitBreaker.FailureTiming.QUICK : FaultCircuitBreaker.FailureTiming.USUAL;
        }

        private synchronized void recordOutcome(Outcome outcome) {
            if (!recorded) {
                recorded = true;
                health.observe(outcome, headMillis > 0 ? headMillis : elapsedMillis(), baseline, clock.nanoTime());
                if (outcome == Outcome.FAILURE) {
                    circuitBreaker.recordFailure(failureTiming(), clock.nanoTime());
                }
            }
        }

        /**
         * Records the arrival of the head of the response, which ends the service time.
         *
         * @param isAnswer whether the response is the result that the call asked for; an error tells nothing about the work of
         *     such calls
         */
        public void recordResponseHead(boolean isAnswer) {
            headMillis = elapsedMillis();
            answered = isAnswer;
        }

        private double remainingMillis() {
            return headMillis > 0 ? 0 : work.estimates().remainingMillis(call.kind(), elapsedMillis());
        }

        // A call that takes far longer than the slow calls of the service is recorded as a failure before its deadline.
        private void checkOverdue(long now) {
            Baseline b = baseline;
            double maxMillis = Math.max(MIN_OVERDUE_MILLIS, OVERDUE_FACTOR * b.slowMillis());
            if (headMillis == 0 && b.slowMillis() > 0 && (now - startNanos) / NANOS_PER_MILLI > maxMillis) {
                recordOutcome(Outcome.FAILURE);
            }
            if (now > call.deadline() + LEAK_GRACE_NANOS) {
                end(Outcome.CANCELLED);
            }
        }
    }

    /**
     * Creates a backend server from its first announcement.
     *
     * @param announcement the announcement
     * @param service the settings of its service
     * @param client the client that connects to it
     * @param clock the clock
     * @param scheduling which decisions are made by expected work
     */
    public LocalBackend(
            Announcement announcement,
            Service service,
            StreamingHttpClient client,
            Clock clock,
            Scheduling scheduling) {
        this.announcement = announcement;
        this.client = client;
        this.clock = clock;
        incarnation = announcement.born() == 0 ? clock.now().toEpochMilli() : announcement.born();
        QueueOrder order = scheduling.deadlineOrder() ? QueueOrder.DUE_DATE : QueueOrder.ARRIVAL;
        queue = new FairQueue(announcement.slots(), service.queue(), clock, order);
        work = new BackendWork(announcement.id(), scheduling.byWork());
        health = new BackendHealth(service.detection(), clock.nanoTime());
        roomMeter = new RoomMeter(clock);
        lastCallNanos = clock.nanoTime();
        renew(announcement);
    }

    /**
     * Returns the announcement.
     *
     * @return the latest announcement of the backend server
     */
    public Announcement announcement() {
        return announcement;
    }

    /**
     * Returns the client.
     *
     * @return the client that connects to the backend server
     */
    public StreamingHttpClient client() {
        return client;
    }

    /**
     * Returns the queue.
     *
     * @return the queue, which also grants the slots
     */
    public FairQueue queue() {
        return queue;
    }

    /**
     * Returns the room meter.
     *
     * @return the meter of the calls that found no room
     */
    public RoomMeter roomMeter() {
        return roomMeter;
    }

    /**
     * Returns the health.
     *
     * @return the health, derived from the results of its calls
     */
    public BackendHealth health() {
        return health;
    }

    /**
     * Returns the circuit breaker.
     *
     * @return the circuit breaker, which rejects calls after failures of the last few calls
     */
    public FaultCircuitBreaker circuitBreaker() {
        return circuitBreaker;
    }

    /**
     * Returns the pacer of the trial calls that the backend server gets while it is ejected.
     *
     * @return the pacer
     */
    public TrialPacer ejectionTrials() {
        return ejectionTrials;
    }

    /**
     * Replaces the announcement and extends the time until it expires.
     *
     * @param next an announcement of the same backend server
     */
    public void renew(Announcement next) {
        announcement = next;
        expiresAt = clock.nanoTime() + next.ttlSeconds() * 1_000_000_000L;
    }

    /**
     * Records the start of a call that has got a slot, and stores the baseline that the call carries, if it has one.
     *
     * @param permit the permit for the slot
     * @param call the call
     * @return the call in flight
     */
    public InFlightCall begin(FairQueue.Permit permit, BackendCall call) {
        if (call.baseline().slowMillis() > 0) {
            baseline = call.baseline();
        }
        InFlightCall c = new InFlightCall(permit, call);
        calls.put(c.number, c);
        rateLimit.recordCall(c.startNanos);
        lastCallNanos = c.startNanos;
        idleReported = false;
        return c;
    }

    /**
     * Returns the expected work of its calls.
     *
     * @return the work
     */
    public BackendWork work() {
        return work;
    }

    /**
     * Returns the time for which the slots are expected to be busy with the calls in flight, those that wait and one more.
     *
     * @return milliseconds
     */
    public double busyMillis() {
        return work.busyMillis(
                calls.values().stream().mapToDouble(InFlightCall::remainingMillis), announcement.slots());
    }

    /**
     * Returns the number of calls in flight.
     *
     * @return the number of calls
     */
    int callsInFlight() {
        return calls.size();
    }

    /**
     * Returns the number of calls in flight that are retries.
     *
     * @return the number of retries
     */
    int retriesInFlight() {
        return (int) calls.values().stream().filter(c -> c.call.retry()).count();
    }

    /**
     * Updates the health, records overdue calls as failures, and ends the records of calls that are long past their
     * deadline. Called periodically.
     *
     * @param now monotonic time in nanoseconds
     */
    public void tick(long now) {
        calls.values().forEach(c -> c.checkOverdue(now));
        health.applyDueChanges(now);
        if (health.state() != BackendState.EJECTED) {
            ejectionTrials.reset();
        }
        reportExclusion(now);
        reportExcessCalls(now);
    }

    // Reports once that the backend server gets no calls because it is ejected or its circuit breaker rejects them.
    private void reportExclusion(long now) {
        boolean excluded = health.state() == BackendState.EJECTED || circuitBreaker.rejectsNonIdempotentCalls(now);
        if (excluded && !idleReported && now - lastCallNanos >= EXCLUSION_REPORT_NANOS) {
            idleReported = true;
            Logger.warn(
                    "backend server {} got no call for {} ms: state {}, probability of a fault {}",
                    announcement.id(),
                    (now - lastCallNanos) / 1_000_000,
                    health.state(),
                    String.format(Locale.ROOT, "%.2f", circuitBreaker.faultProbability(now)));
        }
    }

    /**
     * Records the rate limit that a response of the backend server names.
     *
     * @param limit calls a second, or empty if the response names none
     */
    public void recordRateLimit(OptionalDouble limit) {
        rateLimitHeard = true;
        if (rateLimit.set(limit, clock.nanoTime())) {
            String text = limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
            Logger.info("backend server {} named a rate limit: {}", announcement.id(), text);
        }
    }

    /**
     * Applies the rate limit that an ingress daemon knows, unless a response of the backend server has come to this daemon. A
     * daemon that restarts learns the limit in this way before it sends the first call.
     *
     * @param limit calls a second, or empty if the ingress daemon knows of none
     */
    public void adoptRateLimit(OptionalDouble limit) {
        if (!rateLimitHeard && limit.isPresent() && rateLimit.setIfNone(limit.getAsDouble(), clock.nanoTime())) {
            Logger.info(
                    "backend server {} named a rate limit before this daemon started: {}",
                    announcement.id(),
                    limit.getAsDouble());
        }
    }

    /** Records that a response of the backend server states that it is about to leave. */
    public void recordLeaving() {
        leaving = true;
    }

    /**
     * Returns whether a response of the backend server has stated that it is about to leave.
     *
     * @return true if it leaves
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns the rate limit.
     *
     * @return the rate limit that the backend server named
     */
    public BackendRateLimit rateLimit() {
        return rateLimit;
    }

    private void reportExcessCalls(long now) {
        int excess = rateLimit.excessCalls(now);
        if (excess > 0 && !excessReported) {
            Logger.warn(
                    "backend server {} got {} calls in {} s beyond its rate limit",
                    announcement.id(),
                    excess,
                    BackendRateLimit.WINDOW.toSeconds());
        }
        excessReported = excess > 0;
    }

    /**
     * Returns whether the announcement has expired.
     *
     * @param now monotonic time in nanoseconds
     * @return true if it was not renewed in time
     */
    public boolean isExpired(long now) {
        return now - expiresAt >= 0;
    }

    /**
     * Returns the description of the backend server that is published to the fleet.
     *
     * @param now monotonic time in nanoseconds
     * @return the description
     */
    public BackendServer describe(long now) {
        BackendState s = health.state();
        return new BackendServer(
                announcement.id(),
                announcement.service(),
                announcement.slots(),
                s,
                health.weight(now) * rateLimit.capacityShare(announcement.slots(), queue.meanHoldMillis()),
                health.severity(),
                incarnation);
    }
}
