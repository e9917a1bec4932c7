package io.fuchsiastand.health;

import java.time.Duration;

import io.fuchsiastand.config.Detection;

/**
 * Judges one backend server from the results of real calls. Failures and slow calls are tested one after the other
 * against how the whole service does, so that a service that is slow as a whole loses no backend server. The threshold
 * follows from the tolerated false alarms per day and the rate of calls.
 *
 * <p>Not thread-safe.
 */
public final class OutlierDetector {

    private static final double NORMAL_FAILURES = 0.003;
    private static final double SLIGHT_FAILURES = 0.05;
    private static final double GROSS_FAILURES = 0.5;
    private static final double LEAST_FACTOR = 3;
    private static final double NORMAL_MARGIN = 1.5;
    private static final double NORMAL_SLOW = 0.05;
    private static final double RAISED_SLOW = 0.4;
    private static final int TESTS = 3;
    private static final double SECONDS_PER_DAY = Duration.ofDays(1).toSeconds();
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RATE_TERM_SECONDS = 30;
    private static final double LEAST_RATE = 0.01;
    private static final double SMOOTHING = 0.05;

    private final double falseAlarmsPerDay;
    private final Cusum slightFailures = new Cusum(SLIGHT_FAILURES, LEAST_FACTOR);
    private final Cusum grossFailures = new Cusum(GROSS_FAILURES, LEAST_FACTOR);
    private final Cusum slowCalls = new Cusum(RAISED_SLOW, LEAST_FACTOR);
    private double rate = 1;
    private long lastCall;
    private double badShare;

    /**
     * Creates a detector.
     *
     * @param detection the trade between detection time and false ejections
     */
    public OutlierDetector(Detection detection) {
        falseAlarmsPerDay = detection.falseAlarmsPerDay();
    }

    /**
     * Records a call.
     *
     * @param outcome what the call says
     * @param millis service time; of no meaning unless the outcome is a success
     * @param baseline how the service does at large
     * @param cold whether the backend server has just started, so that slow calls are no evidence
     * @param now monotonic time in nanoseconds
     * @return true if the backend server is an outlier
     */
    public boolean observe(Outcome outcome, double millis, Baseline baseline, boolean cold, long now) {
        if (outcome == Outcome.SHED || outcome == Outcome.CANCELLED) {
            return isOutlier();
        }
        countRate(now);
        boolean failed = outcome == Outcome.FAILURE;
        double normal = Math.max(NORMAL_FAILURES, NORMAL_MARGIN * baseline.failureShare());
        slightFailures.observe(failed, normal);
        grossFailures.observe(failed, normal);
        boolean slow = !failed && !cold && baseline.slowMillis() > 0 && millis > baseline.slowMillis();
        if (!failed) {
            slowCalls.observe(slow, NORMAL_SLOW);
        }
        badShare += SMOOTHING * ((failed || slow ? 1 : 0) - badShare);
        return isOutlier();
    }

    /**
     * Tells whether the evidence so far makes the backend server an outlier.
     *
     * @return true if one of the tests has alarmed
     */
    public boolean isOutlier() {
        return evidence() >= threshold();
    }

    /**
     * Returns how bad the backend server is, for the order of ejection.
     *
     * @return the share of calls that fail or are slow, in whole percent
     */
    public double severity() {
        return Math.rint(badShare * 100);
    }

    /** Forgets the evidence. */
    public void reset() {
        slightFailures.reset();
        grossFailures.reset();
        slowCalls.reset();
    }

    private double evidence() {
        return Math.max(slowCalls.sum(), Math.max(slightFailures.sum(), grossFailures.sum()));
    }

    private double threshold() {
        double callsPerDay = Math.max(LEAST_RATE, rate) * SECONDS_PER_DAY;
        return Math.log(TESTS * callsPerDay / falseAlarmsPerDay);
    }

    private void countRate(long now) {
        double gap = lastCall == 0 ? 1 : Math.max(1e-6, (now - lastCall) / NANOS_PER_SECOND);
        rate = rate * Math.exp(-gap / RATE_TERM_SECONDS) + 1 / RATE_TERM_SECONDS;
        lastCall = now;
    }
}
