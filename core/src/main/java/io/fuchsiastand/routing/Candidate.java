package io.fuchsiastand.routing;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.fuchsiastand.time.Clock;
import io.fuchsiastand.work.BusyTime;
import io.fuchsiastand.work.ServiceWork;

/**
 * A backend server to which an ingress daemon can send a call. It holds the description that the daemon of the backend
 * server's host published, and the measurements of the ingress daemon's own calls. The measurements are kept when the
 * description changes.
 */
public final class Candidate {

    private static final double SMOOTHING = 0.2;
    // How long a host is blocked after two connection failures in a row. The block after the first failure lasts half
    // of this time.
    private static final long TWO_FAILURES_BLOCK_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long AVOIDANCE_NANOS = Duration.ofMillis(700).toNanos();
    private static final int MAX_COUNTED_FAILURES = 5;
    private static final double MAX_FAILURE_SHARE = 0.9;
    private static final double FAILURE_MEMORY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double LOAD_MEMORY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double MIN_WEIGHT = 0.01;
    private static final long MIN_TRIAL_PERIOD_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MAX_TRIAL_PERIOD_NANOS = Duration.ofMinutes(5).toNanos();

    private final String host;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final BusyTime busyTime;
    private volatile BackendServer server;
    private volatile double latencyMillis;
    private volatile int reportedLoad;
    private volatile long reportedLoadNanos;
    private volatile double failureShare;
    private volatile long lastFailureNanos;
    private volatile int connectionFailures;
    private volatile long hostBlockedUntil = Long.MIN_VALUE;
    private volatile long avoidedUntil = Long.MIN_VALUE;
    private volatile double weight = 1;
    private volatile OptionalDouble rateLimit = OptionalDouble.empty();
    private volatile boolean leaving;
    private long trialPeriodNanos = MIN_TRIAL_PERIOD_NANOS;
    private long nextTrialNanos;
    private boolean trialScheduled;

    /**
     * Creates a candidate.
     *
     * @param host the host of the backend server
     * @param server the description of the backend server
     * @param work the work at all backend servers of its service
     * @param now monotonic time in nanoseconds
     */
    public Candidate(String host, BackendServer server, ServiceWork work, long now) {
        this.host = host;
        this.server = server;
        busyTime = new BusyTime(work, now);
    }

    /**
     * Returns the host.
     *
     * @return the name of the host
     */
    public String host() {
        return host;
    }

    /**
     * Returns the description of the backend server.
     *
     * @return the latest description
     */
    public BackendServer server() {
        return server;
    }

    /**
     * Returns the weight that {@link Rotation} assigned to the backend server.
     *
     * @return 0 to 1; 0 takes it out of rotation; 1 before {@link Rotation} has assigned a weight
     */
    public double weight() {
        return weight;
    }

    synchronized void setServer(BackendServer server) {
        this.server = server;
        if (server.state() != BackendState.EJECTED) {
            trialScheduled = false;
            trialPeriodNanos = MIN_TRIAL_PERIOD_NANOS;
        }
    }

    void setWeight(double weight) {
        this.weight = weight;
    }

    /** Records the start of a call to the backend server. */
    public void begin() {
        inFlight.incrementAndGet();
    }

    /**
     * Records the start of a call to the backend server.
     *
     * @param costMillis the usual cost of the call in milliseconds of slot time, or 0 if it is unknown
     * @param now monotonic time in nanoseconds
     */
    public void begin(double costMillis, long now) {
        begin();
        busyTime.add(costMillis, slots(), now);
    }

    /**
     * Records what the daemon of the host stated about expected work with an answer.
     *
     * @param busyMillis the time for which the slots of the backend server are busy, in milliseconds
     * @param costMillis the cost of a call like the one that was answered at this backend server, in milliseconds of slot time;
     *     0 if it is unknown
     * @param usualMillis the usual cost of such a call at the backend servers of the service; 0 if it is unknown
     * @param now monotonic time in nanoseconds
     */
    public void recordWork(double busyMillis, double costMillis, double usualMillis, long now) {
        busyTime.report(busyMillis, now);
        busyTime.recordCost(costMillis, usualMillis);
    }

    /**
     * Records that a call was sent to the backend server and failed there.
     *
     * @param now monotonic time in nanoseconds
     */
    public void recordFailure(long now) {
        failureShare += SMOOTHING * (1 - failureShare);
        lastFailureNanos = now;
    }

    /**
     * Records the arrival of the head of a successful answer. The call no longer counts as in flight.
     *
     * @param clock the clock
     * @param latency time from sending the call to the head of the answer
     * @param load calls at the backend server and in its queue, as its daemon reported with the answer; negative
     *     if unknown
     */
    public void recordAnswer(Clock clock, Duration latency, int load) {
        inFlight.decrementAndGet();
        double ms = latency.toNanos() / 1e6;
        latencyMillis = latencyMillis == 0 ? ms : latencyMillis + SMOOTHING * (ms - latencyMillis);
        recordLoad(clock, load);
        failureShare -= SMOOTHING * failureShare;
        connectionFailures = 0;
        hostBlockedUntil = Long.MIN_VALUE;
    }

    /**
     * Records the end of a call that failed at the backend server or that its daemon refused. The duration of such a
     * call is no measure of the speed of the backend server. For a short time, other candidates are preferred.
     *
     * @param clock the clock
     * @param load calls at the backend server and in its queue, as its daemon reported; negative if unknown
     */
    public void endFailed(Clock clock, int load) {
        inFlight.decrementAndGet();
        recordLoad(clock, load);
        avoidedUntil = clock.nanoTime() + AVOIDANCE_NANOS;
    }

    private void recordLoad(Clock clock, int load) {
        if (load >= 0) {
            reportedLoad = load;
            reportedLoadNanos = clock.nanoTime();
        }
    }

    /**
     * Records the rate limit that the daemon of the host stated with its latest answer.
     *
     * @param limit calls a second, or empty if it stated none
     */
    public void recordRateLimit(OptionalDouble limit) {
        rateLimit = limit;
    }

    /**
     * Returns the rate limit that the daemon of the host stated with its latest answer.
     *
     * @return calls a second, or empty if it stated none
     */
    public OptionalDouble rateLimit() {
        return rateLimit;
    }

    void recordLeaving() {
        leaving = true;
    }

    /**
     * Returns whether an answer has stated that the backend server is about to leave.
     *
     * @return true if it gets no more calls
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Records the end of a call that was not sent because of the rate limit that the backend server named. Other candidates
     * are preferred until the limit allows a call.
     *
     * @param clock the clock
     * @param wait time until the limit allows a call
     */
    public void endRateLimited(Clock clock, Duration wait) {
        inFlight.decrementAndGet();
        avoidedUntil = clock.nanoTime() + wait.toNanos();
    }

    /**
     * Returns whether a call to the backend server failed or was refused a short time ago.
     *
     * @param clock the clock
     * @return true if other candidates are preferred
     */
    public boolean isAvoided(Clock clock) {
        long until = avoidedUntil;
        return until != Long.MIN_VALUE && clock.nanoTime() - until < 0;
    }

    /**
     * Returns whether this daemon should send a trial call to the backend server now, and schedules the next one. The daemon
     * of the backend server's host accepts trial calls at a limited rate. The period adapts, so that all ingress daemons
     * together send about as many as it accepts.
     *
     * @param clock the clock
     * @param random the source of random numbers, which spreads the trial calls of different daemons
     * @return true if the backend server is ejected and out of rotation and a trial call is due
     */
    public synchronized boolean tryBeginTrial(Clock clock, RandomGenerator random) {
        if (weight > 0 || leaving || server.state() != BackendState.EJECTED) {
            return false;
        }
        long now = clock.nanoTime();
        boolean due = trialScheduled && now - nextTrialNanos >= 0;
        if (due || !trialScheduled) {
            trialScheduled = true;
            nextTrialNanos = now + (long) (trialPeriodNanos * (due ? 0.5 + random.nextDouble() : random.nextDouble()));
        }
        return due;
    }

    /**
     * Records whether a trial call was sent to the backend server.
     *
     * @param accepted whether the daemon of its host accepted the trial call
     */
    public synchronized void recordTrial(boolean accepted) {
        trialPeriodNanos = accepted
                ? Math.max(MIN_TRIAL_PERIOD_NANOS, trialPeriodNanos / 2)
                : Math.min(MAX_TRIAL_PERIOD_NANOS, trialPeriodNanos * 2);
    }

    /** Records the end of a call that is no evidence about the backend server, such as a cancelled call. */
    public void endWithoutResult() {
        inFlight.decrementAndGet();
    }

    /**
     * Records the end of a call that failed between this daemon and the daemon of the host: no connection, a broken
     * connection, or no answer in time. The host is blocked for a time that doubles with each further such failure,
     * from 0.5 s up to 8 s, or until a call succeeds. This is no evidence about the backend server itself.
     *
     * @param clock the clock
     */
    public void endConnectionFailed(Clock clock) {
        inFlight.decrementAndGet();
        int n = Math.min(connectionFailures + 1, MAX_COUNTED_FAILURES);
        connectionFailures = n;
        hostBlockedUntil = clock.nanoTime() + (TWO_FAILURES_BLOCK_NANOS << (n - 1)) / 2;
    }

    /**
     * Returns whether the connection from this daemon to the daemon of the host is assumed to work.
     *
     * @param clock the clock
     * @return false while the host is blocked after a connection failure
     */
    public boolean isHostUsable(Clock clock) {
        return hostBlockedUntil == Long.MIN_VALUE || clock.nanoTime() - hostBlockedUntil >= 0;
    }

    /**
     * Returns the estimated number of calls at the backend server per slot.
     *
     * @return 0 if it is idle, 1 if all slots are taken, more if calls wait in its queue
     */
    public double utilisation() {
        int load = Math.max(inFlight.get(), reportedLoad);
        return load / (double) slots();
    }

    /**
     * Returns the estimated number of calls at the backend server and in its queue. A report loses weight as it ages, so that a
     * backend server that was not called for a time counts as idle.
     *
     * @param now monotonic time in nanoseconds
     * @return the number, at least that of this daemon's own calls there
     */
    double load(long now) {
        double age = Math.max(0, now - reportedLoadNanos);
        return Math.max(inFlight.get(), reportedLoad * Math.exp(-age / LOAD_MEMORY_NANOS));
    }

    double weightedSlots() {
        return slots() * Math.max(MIN_WEIGHT, weight);
    }

    /**
     * Returns the score of the backend server for the next call; a lower score is better.
     *
     * @return a number that grows with the load per weighted slot and with the mean latency
     */
    public double score() {
        int load = Math.max(inFlight.get(), reportedLoad) + 1;
        double capacity = slots() * Math.max(MIN_WEIGHT, weight);
        return load / capacity * (1 + latencyMillis);
    }

    /**
     * Returns the time after which a call is expected to succeed if it is sent to the backend server now. Recent failures there
     * lengthen it, as a call that fails has to be sent again, and so does each call of this daemon that has no answer yet.
     *
     * @param costMillis the usual cost of the call in milliseconds of slot time
     * @param now monotonic time in nanoseconds
     * @return milliseconds
     */
    public double expectedFinishMillis(double costMillis, long now) {
        double memory = Math.max(0, 1 - (now - lastFailureNanos) / FAILURE_MEMORY_NANOS);
        double success = 1 - Math.min(MAX_FAILURE_SHARE, failureShare * memory);
        // Calls without an answer count for as long as there is none: the path to the host may lose them.
        double unanswered = inFlight.get() * costMillis / slots();
        return (busyTime.expectedFinishMillis(costMillis, Math.max(MIN_WEIGHT, weight), now) + unanswered) / success;
    }

    private int slots() {
        return Math.max(1, server.slots());
    }
}
