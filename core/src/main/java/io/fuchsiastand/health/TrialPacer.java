package io.fuchsiastand.health;

import java.time.Duration;

/**
 * Decides when a backend server that is out of rotation gets a trial call. At most one is in flight. The delay between two
 * doubles while they fail.
 *
 * <p>Thread-safe. All times are monotonic, in nanoseconds.
 */
public final class TrialPacer {

    /** Delay from one trial call to the next while they succeed. */
    public static final Duration MIN_DELAY = Duration.ofSeconds(1);
    /** Maximum of the delay while they fail. */
    public static final Duration MAX_DELAY = Duration.ofSeconds(8);

    private boolean inFlight;
    private boolean started;
    private long lastStart;
    private long delayNanos = MIN_DELAY.toNanos();

    /**
     * Returns whether a trial call may be sent now. When it ends, its result must be recorded.
     *
     * @param now monotonic time
     * @return false if a trial call is in flight or the delay has not passed
     */
    public synchronized boolean tryStart(long now) {
        if (inFlight || (started && now - lastStart < delayNanos)) {
            return false;
        }
        inFlight = true;
        started = true;
        lastStart = now;
        return true;
    }

    /**
     * Records the result of a trial call.
     *
     * @param outcome the result; a call without evidence about the backend server does not change the delay
     */
    public synchronized void record(Outcome outcome) {
        inFlight = false;
        if (outcome == Outcome.SUCCESS) {
            delayNanos = MIN_DELAY.toNanos();
        } else if (outcome == Outcome.FAILURE) {
            delayNanos = Math.min(2 * delayNanos, MAX_DELAY.toNanos());
        }
    }

    /** Resets the delay, once the backend server is in rotation. */
    public synchronized void reset() {
        started = false;
        delayNanos = MIN_DELAY.toNanos();
    }
}
