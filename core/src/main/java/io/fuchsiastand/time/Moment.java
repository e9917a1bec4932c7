package io.fuchsiastand.time;

import java.time.Duration;

/**
 * A point in time on both clocks of this host. The monotonic clock stands still while the host is suspended, and the wall clock
 * may be set back. The age of a moment is the longer of the times that they show.
 *
 * @param nanos the monotonic time in nanoseconds
 * @param wallMillis the wall-clock time in milliseconds since 1970-01-01 UTC
 */
public record Moment(long nanos, long wallMillis) {

    /**
     * Returns the current moment.
     *
     * @param clock the clock
     * @return the moment
     */
    public static Moment now(Clock clock) {
        return new Moment(clock.nanoTime(), clock.now().toEpochMilli());
    }

    /**
     * Returns the time since this moment.
     *
     * @param clock the clock
     * @return the time, longer than the true one if the wall clock was set forward
     */
    public Duration age(Clock clock) {
        Duration monotonic = Duration.ofNanos(clock.nanoTime() - nanos);
        Duration wall = Duration.ofMillis(clock.now().toEpochMilli() - wallMillis);
        return wall.compareTo(monotonic) > 0 ? wall : monotonic;
    }

    /**
     * Returns whether this moment is later than another one.
     *
     * @param other the other moment of the same process, or null
     * @return true if it is later, or if there is no other one
     */
    public boolean isAfter(Moment other) {
        return other == null || nanos - other.nanos > 0;
    }
}
