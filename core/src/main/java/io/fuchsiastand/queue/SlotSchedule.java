package io.fuchsiastand.queue;

import java.util.PriorityQueue;

/**
 * List scheduling (Graham): each call of a list takes the slot that becomes free first. Predicts when waiting calls start
 * from the times for which the calls before them are expected to hold their slots. Not thread-safe.
 */
final class SlotSchedule {

    private final PriorityQueue<Long> freeAt = new PriorityQueue<>();
    private final long now;
    private final int slots;
    private int running;
    private long workNanos;

    /**
     * Creates the schedule of slots that are all free.
     *
     * @param slots the number of slots; 0 counts as 1
     * @param now monotonic time in nanoseconds
     */
    SlotSchedule(int slots, long now) {
        this.slots = Math.max(1, slots);
        this.now = now;
    }

    /**
     * Adds a running call. A call that has run longer than expected is expected to need as long again as it is overdue:
     * the longer a call of a heavy-tailed distribution runs, the longer it is expected to run on.
     *
     * @param since time at which it started, in nanoseconds
     * @param expectedNanos the time for which it was expected to run
     */
    void addRunning(long since, long expectedNanos) {
        long remaining = Math.abs(since + expectedNanos - now);
        running++;
        workNanos += remaining;
        freeAt.add(remaining);
    }

    /**
     * Returns when the next call of the list starts.
     *
     * @return monotonic time in nanoseconds
     */
    long nextStart() {
        while (running > slots) {
            freeAt.poll();
            running--;
        }
        return now + (running < slots ? 0 : freeAt.element());
    }

    /**
     * Adds the next call of the list.
     *
     * @param expectedNanos the time for which it is expected to hold its slot
     */
    void add(long expectedNanos) {
        long start = nextStart() - now;
        if (running < slots) {
            running++;
        } else {
            freeAt.poll();
        }
        freeAt.add(start + expectedNanos);
        workNanos += expectedNanos;
    }

    /**
     * Returns the expected remaining time of all calls that were added.
     *
     * @return nanoseconds of slot time
     */
    long workNanos() {
        return workNanos;
    }
}
