package io.fuchsiastand.health;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fuchsiastand.time.Clock;

/**
 * Computes the baseline of one service from the summaries that arrive with answers. The ingress daemon sends the
 * baseline with each call to the owner of the backend server, which is the daemon of its host. So the owner can compare
 * the backend server with the whole service without extra messages. The medians over the backend servers keep a few
 * faulty ones from changing the baseline. It uses the summaries of at most 64 backend servers.
 *
 * <p>Thread-safe.
 */
public final class ServiceBaseline {

    private static final Duration MAX_AGE = Duration.ofMinutes(1);
    private static final int MIN_SERVERS = 3;
    private static final int MAX_SERVERS = 64;
    private static final int CALLS_PER_REFRESH = 4;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_OFFSET_MILLIS = 2;

    private final Map<String, TimedSummary> servers = new HashMap<>();
    private final Clock clock;
    private Baseline latest = Baseline.UNKNOWN;
    private int calls;

    private record TimedSummary(ServerSummary summary, long receivedAt) {}

    /**
     * Creates a baseline without observations.
     *
     * @param clock the clock
     */
    public ServiceBaseline(Clock clock) {
        this.clock = clock;
    }

    /**
     * Stores the latest summary of a backend server.
     *
     * @param server the name of the backend server
     * @param summary its recent service times and failures
     */
    public synchronized void observe(String server, ServerSummary summary) {
        if (servers.size() < MAX_SERVERS || servers.containsKey(server)) {
            servers.put(server, new TimedSummary(summary, clock.nanoTime()));
        }
        calls++;
        if (calls % CALLS_PER_REFRESH == 0) {
            refresh();
        }
    }

    /**
     * Returns the baseline.
     *
     * @return the baseline as of the last refresh, which happens at every fourth summary; {@link Baseline#UNKNOWN}
     *     before the first refresh, or if fewer than three backend servers had sent a summary in the minute before it
     */
    public synchronized Baseline latest() {
        return latest;
    }

    private void refresh() {
        long oldest = clock.nanoTime() - MAX_AGE.toNanos();
        servers.values().removeIf(s -> s.receivedAt() < oldest);
        if (servers.size() < MIN_SERVERS) {
            latest = Baseline.UNKNOWN;
            return;
        }
        List<Double> medians = new ArrayList<>();
        List<Double> highs = new ArrayList<>();
        List<Double> failures = new ArrayList<>();
        for (TimedSummary s : servers.values()) {
            medians.add(s.summary().medianMillis());
            highs.add(s.summary().highMillis());
            failures.add(s.summary().failureShare());
        }
        double slow = Math.max(SLOW_FACTOR * median(medians) + SLOW_OFFSET_MILLIS, median(highs));
        latest = new Baseline(median(failures), slow);
    }

    private static double median(List<Double> values) {
        values.sort(null);
        return values.get(values.size() / 2);
    }
}
