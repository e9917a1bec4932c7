package io.fuchsiastand.time;

import java.time.Duration;
import java.time.Instant;

/** A clock whose time changes only by calls of its methods, for tests and simulations. */
public final class ManualClock implements Clock {

    private static final Instant WALL_CLOCK_ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private volatile long nanos;

    /** Creates a clock whose monotonic time is one day and whose wall clock shows {@code 2026-01-02T00:00:00Z}. */
    public ManualClock() {
        nanos = Duration.ofDays(1).toNanos();
    }

    @Override
    public Instant now() {
        return WALL_CLOCK_ORIGIN.plusNanos(nanos);
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    /**
     * Moves the clock forward.
     *
     * @param step the duration to add; must not be negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("the clock cannot move backward: " + step);
        }
        nanos += step.toNanos();
    }

    /**
     * Moves the clock to a monotonic time.
     *
     * @param targetNanos the new monotonic time in nanoseconds, not before the current one
     */
    public void advanceTo(long targetNanos) {
        advance(Duration.ofNanos(targetNanos - nanos));
    }
}
