package io.fuchsiastand.time;

import java.time.Duration;
import java.time.Instant;

/** A clock that moves only when told to, for tests and experiments on virtual time. */
public final class ManualClock implements Clock {

    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private volatile long nanos;

    /** Creates a clock that stands at its origin, one day after zero. */
    public ManualClock() {
        nanos = Duration.ofDays(1).toNanos();
    }

    @Override
    public Instant now() {
        return ORIGIN.plusNanos(nanos);
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    /**
     * Moves the clock forward.
     *
     * @param step how far; must not be negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("a clock does not run backward: " + step);
        }
        nanos += step.toNanos();
    }

    /**
     * Moves the clock to a monotonic time.
     *
     * @param time nanoseconds, not before the current time
     */
    public void advanceTo(long time) {
        advance(Duration.ofNanos(time - nanos));
    }
}
