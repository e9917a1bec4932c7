package io.fuchsiastand.work;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Unequal work behind equal counts: estimates for how long calls hold a slot of one backend server, learned from calls that
 * ended. Each kind has a moving average. The spread and the tail are learned from all kinds together, as the ratio of the time
 * of a call to the average of its kind, and give the mean residual life of a call that runs.
 *
 * <p>The number of kinds is limited; the one that was not used for the longest time is forgotten first. Thread-safe.
 */
public final class WorkEstimates {

    private static final int MAX_KINDS = 512;
    private static final int MIN_CALLS = 4;
    // Calls that an estimate which another daemon learned counts as.
    private static final int ADOPTED_CALLS = 4;
    private static final double MIN_SMOOTHING = 0.05;
    // Longer calls count as this multiple of the average, so that a few stuck calls do not change it much.
    private static final double MAX_RATIO = 10;
    private static final double REPORTED_CHANGE = 2;

    private final Map<WorkKind, Estimate> kinds = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkKind, Estimate> eldest) {
            return size() > MAX_KINDS;
        }
    };
    private final Estimate all = new Estimate();
    private final DecayingHistogram ratios = new DecayingHistogram();
    private double relativeError;

    private static final class Estimate {
        private double meanMillis;
        private double relativeDeviation;
        private int calls;
        private boolean learned;
        private double reportedMillis;

        private boolean isKnown() {
            return calls >= MIN_CALLS;
        }

        private void add(double millis) {
            calls++;
            double x = isKnown() ? Math.min(millis, MAX_RATIO * meanMillis) : millis;
            meanMillis += Math.max(MIN_SMOOTHING, 1.0 / calls) * (x - meanMillis);
        }

        private boolean isChanged() {
            return isKnown()
                    && (reportedMillis == 0
                            || meanMillis > REPORTED_CHANGE * reportedMillis
                            || meanMillis < reportedMillis / REPORTED_CHANGE);
        }
    }

    /**
     * Records the time for which a call held a slot. Calls that failed must not be recorded: they tell little about the work
     * that a call needs.
     *
     * @param kind the kind of the call
     * @param millis the time in milliseconds
     * @return the estimate for the kind in milliseconds, if it has become known or has changed by more than a factor of two since
     *     it was last returned; otherwise empty
     */
    public synchronized OptionalDouble learn(WorkKind kind, double millis) {
        if (!(millis > 0)) {
            return OptionalDouble.empty();
        }
        Estimate e = kinds.computeIfAbsent(kind, k -> new Estimate());
        if (e.isKnown()) {
            double ratio = millis / e.meanMillis;
            ratios.add(ratio);
            double deviation = Math.abs(ratio - 1);
            relativeError += MIN_SMOOTHING * (deviation - relativeError);
            e.relativeDeviation += MIN_SMOOTHING * (deviation - e.relativeDeviation);
        }
        e.learned = true;
        e.add(millis);
        all.add(millis);
        if (!e.isChanged()) {
            return OptionalDouble.empty();
        }
        e.reportedMillis = e.meanMillis;
        return OptionalDouble.of(e.meanMillis);
    }

    /**
     * Adopts an estimate that another daemon states, unless a call of the kind has ended here. A daemon that restarts learns the
     * estimates of the fleet in this way.
     *
     * @param kind the kind of a call
     * @param millis the usual time on the backend servers of the service, in milliseconds, or 0 if it is unknown
     */
    public synchronized void adopt(WorkKind kind, double millis) {
        if (!(millis > 0) || Double.isInfinite(millis)) {
            return;
        }
        Estimate e = kinds.computeIfAbsent(kind, k -> new Estimate());
        if (!e.learned) {
            e.meanMillis = millis;
            e.calls = ADOPTED_CALLS;
        }
    }

    /**
     * Returns the time for which a call is expected to hold a slot.
     *
     * @param kind the kind of the call
     * @return milliseconds; the mean of all kinds if too few calls of this one are known; 0 if that is unknown too
     */
    public synchronized double expectedMillis(WorkKind kind) {
        Estimate e = kinds.get(kind);
        if (e != null && e.isKnown()) {
            return e.meanMillis;
        }
        return meanMillis();
    }

    /**
     * Returns the estimates that are known, for operators.
     *
     * @return the estimates by kind, the longest time first
     */
    public synchronized List<KindEstimate> known() {
        return kinds.entrySet().stream()
                .filter(e -> e.getValue().isKnown())
                .map(e -> new KindEstimate(
                        e.getKey(), e.getValue().meanMillis, e.getValue().relativeDeviation, e.getValue().learned))
                .sorted(Comparator.comparingDouble(KindEstimate::meanMillis).reversed())
                .toList();
    }

    /**
     * Returns the mean time for which calls hold a slot, whatever their kind.
     *
     * @return milliseconds, or 0 before a few calls have ended
     */
    public synchronized double meanMillis() {
        return all.isKnown() ? all.meanMillis : 0;
    }

    /**
     * Returns the time for which a running call is expected to hold its slot from now on. It may grow with the time that has
     * passed: a call that has run for longer than usual is probably one of the long ones.
     *
     * @param kind the kind of the call
     * @param elapsedMillis the time since the call got its slot, in milliseconds
     * @return milliseconds, or 0 if it is unknown
     */
    public synchronized double remainingMillis(WorkKind kind, double elapsedMillis) {
        double mean = expectedMillis(kind);
        if (mean == 0) {
            return 0;
        }
        if (ratios.count() < MIN_CALLS) {
            return Math.max(mean, elapsedMillis);
        }
        return mean * ratios.meanExcess(Math.max(0, elapsedMillis) / mean);
    }

    /**
     * Returns the mean relative error of the estimates.
     *
     * @return moving average of the difference between a call and its estimate, divided by the estimate
     */
    public synchronized double relativeError() {
        return relativeError;
    }
}
