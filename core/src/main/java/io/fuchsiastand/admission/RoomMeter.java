package io.fuchsiastand.admission;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

import io.fuchsiastand.time.Clock;

/**
 * Loss ratio by priority with exponential decay: the share of the calls to one backend server that found neither a slot nor a
 * place in its queue.
 *
 * <p>Thread-safe.
 */
public final class RoomMeter {

    private static final double DECAY_NANOS = Duration.ofMillis(1500).toNanos();
    // Calls beyond those counted, so that a single refusal is no shortage, and none is left after a pause.
    private static final double PRIOR_CALLS = 2;
    private static final double MIN_SHARE = 0.05;

    private final Clock clock;
    private final Map<Integer, Calls> priorities = new TreeMap<>();

    private record Calls(DecayingSum all, DecayingSum refused) {}

    /**
     * Creates a meter without calls.
     *
     * @param clock the clock
     */
    public RoomMeter(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records a call.
     *
     * @param priority the priority of the call; less urgent ones beyond the first few share one count
     * @param foundRoom whether it got a slot
     */
    public synchronized void record(int priority, boolean foundRoom) {
        long now = clock.nanoTime();
        int p = Math.min(priority, RoomReport.MAX_PRIORITIES - 2);
        Calls c = priorities.computeIfAbsent(
                Math.max(RoomReport.CALLS, p),
                k -> new Calls(new DecayingSum(DECAY_NANOS), new DecayingSum(DECAY_NANOS)));
        c.all().add(1, now);
        if (!foundRoom) {
            c.refused().add(1, now);
        }
    }

    /**
     * Returns the calls that found no room lately.
     *
     * @return the report
     */
    public synchronized RoomReport report() {
        long now = clock.nanoTime();
        double all = PRIOR_CALLS;
        double refused = 0;
        Map<Integer, Double> out = new TreeMap<>();
        for (Map.Entry<Integer, Calls> e : priorities.entrySet()) {
            all += e.getValue().all().get(now);
            refused += e.getValue().refused().get(now);
            if (refused / all >= MIN_SHARE) {
                out.put(e.getKey(), refused / all);
            }
        }
        return out.isEmpty() ? RoomReport.FREE : new RoomReport(out);
    }
}
