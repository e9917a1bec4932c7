package io.fuchsiastand.health;

import java.util.Arrays;
import java.util.Optional;

/**
 * The service times of the last successful calls of one backend server, and a moving average of its share of failed
 * calls. The service time is the time from sending the call to the head of the answer.
 *
 * <p>Not thread-safe.
 */
final class CallWindow {

    // The median uses few samples, so that within a few calls it follows a service that slows down as a whole. The high
    // quantile needs more samples.
    private static final int MEDIAN_SAMPLES = 4;
    private static final int MAX_SAMPLES = 40;
    private static final double HIGH_QUANTILE = 0.95;
    private static final double SMOOTHING = 0.05;

    private final double[] millis = new double[MAX_SAMPLES];
    private int successes;
    private double failureShare;

    void observe(boolean failed, double callMillis) {
        failureShare += SMOOTHING * ((failed ? 1 : 0) - failureShare);
        if (!failed) {
            millis[successes % MAX_SAMPLES] = callMillis;
            successes++;
        }
    }

    Optional<ServerSummary> summary() {
        if (successes < MEDIAN_SAMPLES) {
            return Optional.empty();
        }
        double[] recent = new double[MEDIAN_SAMPLES];
        for (int i = 0; i < MEDIAN_SAMPLES; i++) {
            recent[i] = millis[Math.floorMod(successes - 1 - i, MAX_SAMPLES)];
        }
        Arrays.sort(recent);
        double[] all = Arrays.copyOf(millis, Math.min(successes, MAX_SAMPLES));
        Arrays.sort(all);
        double high = all[(int) Math.min(all.length - 1, Math.floor(HIGH_QUANTILE * all.length))];
        return Optional.of(new ServerSummary(recent[MEDIAN_SAMPLES / 2], high, failureShare));
    }
}
