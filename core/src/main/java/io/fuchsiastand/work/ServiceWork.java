package io.fuchsiastand.work;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What an ingress daemon knows of the work at all backend servers of one service: the usual cost of each kind of call and the
 * usual time for which a backend server is busy. Both come from the answers of the owners. The share of one report is limited,
 * so that one backend server with an unusual speed changes them little.
 *
 * <p>The number of kinds is limited; when it is reached, all are forgotten. Thread-safe.
 */
public final class ServiceWork {

    private static final int MAX_KINDS = 1_024;
    private static final double SMOOTHING = 0.1;
    private static final double MAX_LOG_RATIO = Math.log(2);

    private final Map<WorkKind, UsualCost> kinds = new ConcurrentHashMap<>();
    private final UsualCost all = new UsualCost();
    private volatile double usualBusyMillis = Double.NaN;

    // The moving average is that of the logarithm.
    private static final class UsualCost {
        private volatile double millis;
        private int reports;

        private synchronized void add(double x) {
            reports++;
            if (reports == 1) {
                millis = x;
                return;
            }
            double log = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, Math.log(x / millis)));
            millis *= Math.exp(Math.max(SMOOTHING, 1.0 / reports) * log);
        }
    }

    /**
     * Records the expected cost of a kind of call at one backend server.
     *
     * @param kind the kind
     * @param millis the cost in milliseconds of slot time; ignored unless it is a positive, finite number
     */
    public void recordCost(WorkKind kind, double millis) {
        if (!(millis > 0) || Double.isInfinite(millis)) {
            return;
        }
        if (kinds.size() >= MAX_KINDS && !kinds.containsKey(kind)) {
            kinds.clear();
        }
        kinds.computeIfAbsent(kind, k -> new UsualCost()).add(millis);
        all.add(millis);
    }

    void recordBusyTime(double millis) {
        double known = usualBusyMillis;
        usualBusyMillis = Double.isNaN(known) ? millis : known + SMOOTHING * (millis - known);
    }

    /**
     * Returns the usual cost of a call at the backend servers of the service.
     *
     * @param kind the kind of the call
     * @return milliseconds of slot time; the usual cost of the service's calls if this kind is unknown; 0 if no cost is known
     */
    public double usualMillis(WorkKind kind) {
        UsualCost c = kinds.get(kind);
        return c == null ? all.millis : c.millis;
    }

    /**
     * Returns the usual cost of the calls of the service, whatever their kind.
     *
     * @return milliseconds of slot time, or 0 if no cost is known
     */
    public double meanMillis() {
        return all.millis;
    }

    /**
     * Returns the usual time for which the slots of a backend server of the service are busy.
     *
     * @return milliseconds, or 0 if no backend server has reported it
     */
    public double usualBusyMillis() {
        double x = usualBusyMillis;
        return Double.isNaN(x) ? 0 : x;
    }
}
