package io.fuchsiastand.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How the backend servers of one service do at large, from the calls that one ingress daemon sent. The owner of a
 * backend server gets it with each call, so that it can compare without messages of its own. Medians over backend
 * servers keep a few bad ones from moving the baseline.
 *
 * <p>Thread-safe.
 */
public final class ServiceBaseline {

    private static final int SAMPLES = 32;
    private static final int LEAST_SAMPLES = 8;
    private static final int LEAST_SERVERS = 3;
    private static final int REFRESH_CALLS = 32;
    private static final double SMOOTHING = 0.05;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_MARGIN_MILLIS = 2;
    private static final double HIGH_QUANTILE = 0.95;

    private final Map<String, Server> servers = new HashMap<>();
    private Baseline latest = Baseline.UNKNOWN;
    private int calls;

    /** The last calls of one backend server. */
    private static final class Server {
        private final double[] millis = new double[SAMPLES];
        private int count;
        private double failures;

        private double quantile(double q) {
            double[] sorted = Arrays.copyOf(millis, Math.min(count, SAMPLES));
            Arrays.sort(sorted);
            return sorted[(int) Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
        }
    }

    /**
     * Records a call.
     *
     * @param server the backend server
     * @param outcome what the call says
     * @param millis service time at the backend server
     */
    public synchronized void observe(String server, Outcome outcome, double millis) {
        if (outcome == Outcome.SHED || outcome == Outcome.CANCELLED) {
            return;
        }
        Server s = servers.computeIfAbsent(server, k -> new Server());
        s.failures += SMOOTHING * ((outcome == Outcome.FAILURE ? 1 : 0) - s.failures);
        if (outcome == Outcome.SUCCESS) {
            s.millis[s.count++ % SAMPLES] = millis;
        }
        if (++calls % REFRESH_CALLS == 0) {
            refresh();
        }
    }

    /**
     * Forgets backend servers that are gone.
     *
     * @param present the backend servers that are left
     */
    public synchronized void retain(List<String> present) {
        servers.keySet().retainAll(present);
    }

    /**
     * Returns the baseline.
     *
     * @return the latest, or unknown until three backend servers have answered a few calls
     */
    public synchronized Baseline latest() {
        return latest;
    }

    private void refresh() {
        List<Double> medians = new ArrayList<>();
        List<Double> highs = new ArrayList<>();
        List<Double> failures = new ArrayList<>();
        for (Server s : servers.values()) {
            failures.add(s.failures);
            if (s.count >= LEAST_SAMPLES) {
                medians.add(s.quantile(0.5));
                highs.add(s.quantile(HIGH_QUANTILE));
            }
        }
        if (medians.size() < LEAST_SERVERS) {
            return;
        }
        double typical = median(medians);
        double slow = Math.max(SLOW_FACTOR * typical + SLOW_MARGIN_MILLIS, median(highs));
        latest = new Baseline(median(failures), slow);
    }

    private static double median(List<Double> values) {
        values.sort(null);
        return values.get((values.size() - 1) / 2);
    }
}
