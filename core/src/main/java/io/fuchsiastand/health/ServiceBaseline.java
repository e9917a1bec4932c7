package io.fuchsiastand.health;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fuchsiastand.time.Clock;

/**
 * How the backend servers of one service do at large, from the summaries that come with answers. The owner of a backend
 * server gets it with each call, so that it can compare without messages of its own. Medians over backend servers keep a
 * few bad ones from moving the baseline.
 *
 * <p>Thread-safe.
 */
public final class ServiceBaseline {

    private static final Duration MOST_AGE = Duration.ofMinutes(1);
    private static final int LEAST_SERVERS = 3;
    private static final int MOST_SERVERS = 64;
    private static final int REFRESH_CALLS = 4;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_MARGIN_MILLIS = 2;

    private final Map<String, Seen> servers = new HashMap<>();
    private final Clock clock;
    private Baseline latest = Baseline.UNKNOWN;
    private int calls;

    private record Seen(ServerSummary summary, long at) {}

    /**
     * Creates a baseline of which nothing is known.
     *
     * @param clock the clock
     */
    public ServiceBaseline(Clock clock) {
        this.clock = clock;
    }

    /**
     * Takes a summary.
     *
     * @param server the backend server
     * @param summary how it did lately
     */
    public synchronized void observe(String server, ServerSummary summary) {
        if (servers.size() < MOST_SERVERS || servers.containsKey(server)) {
            servers.put(server, new Seen(summary, clock.nanoTime()));
        }
        calls++;
        if (calls % REFRESH_CALLS == 0) {
            refresh();
        }
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
        long oldest = clock.nanoTime() - MOST_AGE.toNanos();
        servers.values().removeIf(s -> s.at() < oldest);
        if (servers.size() < LEAST_SERVERS) {
            latest = Baseline.UNKNOWN;
            return;
        }
        List<Double> medians = new ArrayList<>();
        List<Double> highs = new ArrayList<>();
        List<Double> failures = new ArrayList<>();
        for (Seen s : servers.values()) {
            medians.add(s.summary().medianMillis());
            highs.add(s.summary().highMillis());
            failures.add(s.summary().failureShare());
        }
        double slow = Math.max(SLOW_FACTOR * median(medians) + SLOW_MARGIN_MILLIS, median(highs));
        latest = new Baseline(median(failures), slow);
    }

    private static double median(List<Double> values) {
        values.sort(null);
        return values.get(values.size() / 2);
    }
}
