package io.fuchsiastand.health;

import java.time.Duration;

import io.fuchsiastand.config.Detection;

/**
 * Detects from the results of real calls whether one backend server is an outlier of its service. Sequential tests
 * compare its failed and slow calls with the baseline of the whole service, so that no backend server is ejected
 * because the whole service is slow. The threshold follows from the tolerated false alarms per day and the rate of
 * calls.
 *
 * <p>Not thread-safe.
 */
public final class OutlierDetector {

    private static final double MIN_NORMAL_FAILURE_SHARE = 0.003;
    private static final double SLIGHT_FAILURE_SHARE = 0.05;
    private static final double GROSS_FAILURE_SHARE = 0.5;
    private static final double MIN_RAISE_FACTOR = 3;
    private static final double BASELINE_FAILURE_FACTOR = 1.5;
    private static final double NORMAL_SLOW_SHARE = 0.05;
    private static final double RAISED_SLOW_SHARE = 0.4;
    private static final int TEST_COUNT = 3;
    private static final double SECONDS_PER_DAY = Duration.ofDays(1).toSeconds();
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RATE_DECAY_SECONDS = 30;
    private static final double MIN_CALLS_PER_SECOND = 0.01;
    private static final double SMOOTHING = 0.05;

    private final double falseAlarmsPerDay;
    private final Cusum slightFailures = new Cusum(SLIGHT_FAILURE_SHARE, MIN_RAISE_FACTOR);
    private final Cusum grossFailures = new Cusum(GROSS_FAILURE_SHARE, MIN_RAISE_FACTOR);
    private final Cusum slowCalls = new Cusum(RAISED_SLOW_SHARE, MIN_RAISE_FACTOR);
    private double callsPerSecond = 1;
    private long lastCall;
    private double faultyShare;

    /**
     * Creates a detector.
     *
     * @param detection the trade-off between detection time and false ejections
     */
    public OutlierDetector(Detection detection) {
        falseAlarmsPerDay = detection.falseAlarmsPerDay();
    }

    /**
     * Records the result of a call.
     *
     * @param outcome the result of the call
     * @param millis service time in milliseconds, from sending the call to the head of the answer; ignored unless the
     *     outcome is a success
     * @param baseline the typical behaviour of the service
     * @param cold whether the backend server started recently, so that slow calls are no evidence of a fault
     * @param now monotonic time in nanoseconds
     * @return true if the backend server is an outlier
     */
    public boolean observe(Outcome outcome, double millis, Baseline baseline, boolean cold, long now) {
        if (outcome == Outcome.SHED || outcome == Outcome.CANCELLED) {
            return isOutlier();
        }
        updateCallRate(now);
        boolean failed = outcome == Outcome.FAILURE;
        double normal = Math.max(MIN_NORMAL_FAILURE_SHARE, BASELINE_FAILURE_FACTOR * baseline.failureShare());
        slightFailures.observe(failed, normal);
        grossFailures.observe(failed, normal);
        boolean slow = !failed && !cold && baseline.slowMillis() > 0 && millis > baseline.slowMillis();
        if (!failed) {
            slowCalls.observe(slow, NORMAL_SLOW_SHARE);
        }
        faultyShare += SMOOTHING * ((failed || slow ? 1 : 0) - faultyShare);
        return isOutlier();
    }

    /**
     * Returns whether the backend server is an outlier by the calls since the last reset.
     *
     * @return true if one of the tests has reached the threshold
     */
    public boolean isOutlier() {
        return maxSum() >= threshold();
    }

    /**
     * Returns the severity of the fault, by which ingress daemons order ejected backend servers when they take them out
     * of rotation.
     *
     * @return a moving average of the share of calls that fail or are slow, in whole percent
     */
    public double severity() {
        return Math.rint(faultyShare * 100);
    }

    /** Resets the tests. The call rate and the severity stay unchanged. */
    public void reset() {
        slightFailures.reset();
        grossFailures.reset();
        slowCalls.reset();
    }

    private double maxSum() {
        return Math.max(slowCalls.sum(), Math.max(slightFailures.sum(), grossFailures.sum()));
    }

    private double threshold() {
        double callsPerDay = Math.max(MIN_CALLS_PER_SECOND, callsPerSecond) * SECONDS_PER_DAY;
        return Math.log(TEST_COUNT * callsPerDay / falseAlarmsPerDay);
    }

    private void updateCallRate(long now) {
        double gap = lastCall == 0 ? 1 : Math.max(1e-6, (now - lastCall) / NANOS_PER_SECOND);
        callsPerSecond = callsPerSecond * Math.exp(-gap / RATE_DECAY_SECONDS) + 1 / RATE_DECAY_SECONDS;
        lastCall = now;
    }
}
