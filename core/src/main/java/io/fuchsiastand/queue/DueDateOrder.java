package io.fuchsiastand.queue;

import java.util.Collection;
import java.util.Comparator;

/**
 * Earliest due date first with late jobs last (after Moore and Hodgson): of calls of equal rank, the one with the earliest
 * target goes first, and calls that are expected to miss their target go behind those that can still meet it. Under
 * overload this keeps the calls that are served on time from becoming late one after the other.
 *
 * <p>So that late calls do not starve, one call in {@value #LATE_CALL_PERIOD} that gets a slot is a late one while late
 * calls wait. Not thread-safe.
 */
final class DueDateOrder {

    static final int LATE_CALL_PERIOD = 4;

    // Number of calls that were taken while a late call waited, since the last late call was taken.
    private int passedLateCalls;

    DueDateOrder() {}

    private DueDateOrder(int passedLateCalls) {
        this.passedLateCalls = passedLateCalls;
    }

    DueDateOrder copy() {
        return new DueDateOrder(passedLateCalls);
    }

    /**
     * Chooses the next call.
     *
     * @param calls the calls; at least one
     * @param at monotonic time at which the call starts, in nanoseconds
     * @return the call
     */
    SubmittedCall takeFirst(Collection<SubmittedCall> calls, long at) {
        boolean lateFirst = passedLateCalls >= LATE_CALL_PERIOD - 1;
        SubmittedCall first = calls.stream().min(comparator(at, lateFirst)).orElseThrow();
        if (first.missesTarget(at)) {
            passedLateCalls = 0;
        } else if (calls.stream().anyMatch(c -> c.missesTarget(at))) {
            passedLateCalls++;
        }
        return first;
    }

    /**
     * Chooses the call that is served last.
     *
     * @param calls the calls; at least one
     * @param now monotonic time in nanoseconds
     * @return the call
     */
    SubmittedCall last(Collection<SubmittedCall> calls, long now) {
        return calls.stream().max(comparator(now, false)).orElseThrow();
    }

    private static Comparator<SubmittedCall> comparator(long at, boolean lateFirst) {
        return Comparator.<SubmittedCall, Boolean>comparing(c -> c.missesTarget(at) != lateFirst)
                .thenComparing(c -> (c.missesTarget(at)
                                ? c.submission().deadline()
                                : c.submission().target())
                        - at)
                .thenComparing(SubmittedCall::number);
    }
}
