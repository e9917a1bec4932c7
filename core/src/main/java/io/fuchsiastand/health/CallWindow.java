package io.fuchsiastand.health;

import java.util.Arrays;
import java.util.Optional;

/**
 * The last calls of one backend server.
 *
 * <p>Not thread-safe.
 */
final class CallWindow {

    // The median follows a service that slows down as a whole within a few calls; the high quantile needs more.
    private static final int RECENT = 4;
    private static final int SAMPLES = 40;
    private static final double HIGH_QUANTILE = 0.95;
    private static final double SMOOTHING = 0.05;

    private final double[] millis = new double[SAMPLES];
    private int count;
    private double failures;

    void observe(boolean failed, double time) {
        failures += SMOOTHING * ((failed ? 1 : 0) - failures);
        if (!failed) {
            millis[count % SAMPLES] = time;
            count++;
        }
    }

    Optional<ServerSummary> summary() {
        if (count < RECENT) {
            return Optional.empty();
        }
        double[] recent = new double[RECENT];
        for (int i = 0; i < RECENT; i++) {
            recent[i] = millis[Math.floorMod(count - 1 - i, SAMPLES)];
        }
        Arrays.sort(recent);
        double[] all = Arrays.copyOf(millis, Math.min(count, SAMPLES));
        Arrays.sort(all);
        double high = all[(int) Math.min(all.length - 1, Math.floor(HIGH_QUANTILE * all.length))];
        return Optional.of(new ServerSummary(recent[RECENT / 2], high, failures));
    }
}
