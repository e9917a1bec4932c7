package io.fuchsiastand.health;

import java.time.Duration;
import java.util.Optional;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.routing.BackendState;

/**
 * Tracks the state of one backend server in the daemon of its host. The backend server starts with a reduced weight. It
 * is ejected when the outlier detector raises an alarm, and returns with a reduced weight after an ejection time that
 * doubles with each ejection within {@link #EJECTION_COUNT_RESET_TIME} of the start of the last one, up to
 * {@link #MAX_EJECTION_TIME}. After an ejection of the maximum length, the next one has the length of the first again.
 * Draining is final.
 *
 * <p>Thread-safe.
 */
public final class BackendHealth {

    /** Time for which a backend server that starts or returns from an ejection has a reduced weight. */
    public static final Duration RAMP_UP_TIME = Duration.ofSeconds(10);
    /** Length of the first ejection. */
    public static final Duration FIRST_EJECTION_TIME = Duration.ofSeconds(10);
    /** Maximum length of an ejection. */
    public static final Duration MAX_EJECTION_TIME = Duration.ofMinutes(10);
    /** Time since the start of the last ejection after which the number of recent ejections is set back to zero. */
    public static final Duration EJECTION_COUNT_RESET_TIME = Duration.ofMinutes(10);

    private static final int RAMP_UP_STEPS = 2;
    private static final int MAX_DOUBLINGS = 6;

    private final OutlierDetector detector;
    private final CallWindow window = new CallWindow();
    private BackendState state = BackendState.STARTING;
    private long stateSince;
    private int recentEjections;
    private long lastEjection;
    private double severity;

    /**
     * Creates the state of a backend server that has just announced itself.
     *
     * @param detection the trade-off between detection time and false ejections
     * @param now monotonic time in nanoseconds
     */
    public BackendHealth(Detection detection, long now) {
        detector = new OutlierDetector(detection);
        stateSince = now;
        lastEjection = now;
    }

    /**
     * Records the result of a call and ejects the backend server if the detector raises an alarm, unless it is ejected
     * or draining.
     *
     * @param outcome the result of the call
     * @param millis service time in milliseconds: the time from sending the call to the head of the answer
     * @param baseline the typical behaviour of the service
     * @param now monotonic time in nanoseconds
     */
    public synchronized void observe(Outcome outcome, double millis, Baseline baseline, long now) {
        if (outcome == Outcome.SUCCESS || outcome == Outcome.FAILURE) {
            window.observe(outcome == Outcome.FAILURE, millis);
        }
        boolean alarm = detector.observe(outcome, millis, baseline, isCold(), now);
        if (alarm && (state == BackendState.SERVING || state == BackendState.STARTING)) {
            eject(now);
        }
    }

    /**
     * Ends the start phase or the ejection if it is due to end, and sets the number of recent ejections back to zero if
     * that is due.
     *
     * @param now monotonic time in nanoseconds
     */
    public synchronized void applyDueChanges(long now) {
        if (state == BackendState.STARTING && now - stateSince >= RAMP_UP_TIME.toNanos()) {
            changeState(BackendState.SERVING, now);
        } else if (state == BackendState.EJECTED && now - stateSince >= ejectionNanos()) {
            detector.reset();
            changeState(BackendState.STARTING, now);
        }
        if (now - lastEjection >= EJECTION_COUNT_RESET_TIME.toNanos()) {
            recentEjections = 0;
        }
    }

    /**
     * Marks the backend server as draining, which is final.
     *
     * @param now monotonic time in nanoseconds
     */
    public synchronized void drain(long now) {
        changeState(BackendState.DRAINING, now);
    }

    /**
     * Returns the recent service times and failures of the backend server.
     *
     * @return the summary, or empty until a few calls have succeeded
     */
    public synchronized Optional<ServerSummary> summary() {
        return window.summary();
    }

    /**
     * Returns the state.
     *
     * @return the state
     */
    public synchronized BackendState state() {
        return state;
    }

    /**
     * Returns the share of the capacity of the backend server that ingress daemons may use, without regard to
     * ejection and draining, which {@code Rotation} handles.
     *
     * @param now monotonic time in nanoseconds
     * @return 0.5 during {@link #RAMP_UP_TIME} after the backend server started or returned from an ejection, otherwise
     *     1
     */
    public synchronized double weight(long now) {
        if (state != BackendState.STARTING) {
            return 1;
        }
        double part = Math.min(1, (now - stateSince) / (double) RAMP_UP_TIME.toNanos());
        return Math.max(1, Math.floor(part * RAMP_UP_STEPS)) / RAMP_UP_STEPS;
    }

    /**
     * Returns the severity of the fault when the backend server was ejected.
     *
     * @return a moving average of the percentage of calls that failed or were slow, at least 1; 0 while it is not
     *     ejected
     */
    public synchronized double severity() {
        return state == BackendState.EJECTED ? severity : 0;
    }

    // Slow calls of a backend server that has just started are no evidence of a fault. After an ejection they are: the
    // backend server must show that it is fast again. An ejection of the maximum length is an exception, because the
    // number of recent ejections is set back to zero when it ends.
    private boolean isCold() {
        return state == BackendState.STARTING && recentEjections == 0;
    }

    private void eject(long now) {
        severity = Math.max(1, detector.severity());
        recentEjections = Math.min(recentEjections + 1, MAX_DOUBLINGS + 1);
        lastEjection = now;
        detector.reset();
        changeState(BackendState.EJECTED, now);
    }

    private void changeState(BackendState next, long now) {
        if (state != BackendState.DRAINING) {
            state = next;
            stateSince = now;
        }
    }

    private long ejectionNanos() {
        long max = MAX_EJECTION_TIME.toNanos();
        return Math.min(max, FIRST_EJECTION_TIME.toNanos() << Math.max(0, recentEjections - 1));
    }
}
