package io.fuchsiastand.time;

import java.time.Instant;

/**
 * Source of time. Leases and timeouts use {@link #nanoTime()}, which an adjustment of the wall clock does not change.
 * {@link #now()} is used for display, for instants that are sent to other hosts, and for the start time of a process,
 * by which the successive processes of a host are ordered.
 */
public interface Clock {

    /**
     * Returns the wall-clock time.
     *
     * @return the current instant
     */
    Instant now();

    /**
     * Returns the monotonic time of this process.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanoTime();

    /**
     * Returns the monotonic time of this process in milliseconds.
     *
     * @return milliseconds since an arbitrary origin
     */
    default long monotonicMillis() {
        return nanoTime() / 1_000_000;
    }

    /**
     * Returns the clock of the operating system.
     *
     * @return a clock that reads the system time
     */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
