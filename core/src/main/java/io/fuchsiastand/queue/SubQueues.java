package io.fuchsiastand.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Start-time fair queueing of waiting calls: each team has a sub-queue at each priority, and the next call is one of the
 * most urgent priority and there of the sub-queue with the least used slot time. With {@link QueueOrder#DUE_DATE},
 * sub-queues whose used slot time differs by less than one mean call are of equal rank, and {@link DueDateOrder} chooses
 * among their calls. Not thread-safe.
 */
final class SubQueues {

    // Above this number, empty sub-queues are removed and their used slot time is lost.
    private static final int MAX_REMEMBERED = 1_024;

    private final Map<Key, SubQueue> queues = new HashMap<>();
    private final QueueOrder order;
    private final DueDateOrder dueDates;
    private int size;
    // Minimum of the used slot time of a sub-queue, in nanoseconds, when a call arrives while it is empty, so that a
    // team gains no precedence by having been idle. It is the largest used slot time that a sub-queue had when one of
    // its waiting calls was taken from it.
    private double minUsedNanosOnArrival;

    private record Key(int priority, String team) {
        private static Key of(Submission s) {
            return new Key(s.priority(), s.team());
        }
    }

    /**
     * The waiting calls of one team and one priority, and the slot time that the team used since the sub-queue was created.
     * When a call arrives in an empty sub-queue, the used time is raised to at least {@link #minUsedNanosOnArrival}.
     */
    private static final class SubQueue {
        private final Key key;
        private final List<SubmittedCall> calls = new ArrayList<>();
        private double usedNanos;

        private SubQueue(Key key) {
            this.key = key;
        }
    }

    SubQueues(QueueOrder order) {
        this(order, new DueDateOrder());
    }

    private SubQueues(QueueOrder order, DueDateOrder dueDates) {
        this.order = order;
        this.dueDates = dueDates;
    }

    /** Returns a copy with the same waiting calls and a new one, to predict the order in which they are taken. */
    SubQueues copyWith(SubmittedCall added) {
        SubQueues out = new SubQueues(order, dueDates.copy());
        out.minUsedNanosOnArrival = minUsedNanosOnArrival;
        out.size = size;
        for (SubQueue q : queues.values()) {
            if (!q.calls.isEmpty() || q.key.equals(Key.of(added.submission()))) {
                SubQueue c = new SubQueue(q.key);
                c.calls.addAll(q.calls);
                c.usedNanos = q.usedNanos;
                out.queues.put(q.key, c);
            }
        }
        out.add(added);
        return out;
    }

    int size() {
        return size;
    }

    void add(SubmittedCall c) {
        SubQueue q = queues.computeIfAbsent(Key.of(c.submission()), SubQueue::new);
        if (q.calls.isEmpty()) {
            q.usedNanos = Math.max(q.usedNanos, minUsedNanosOnArrival);
        }
        q.calls.add(c);
        size++;
    }

    boolean remove(SubmittedCall c) {
        SubQueue q = queues.get(Key.of(c.submission()));
        boolean removed = q != null && q.calls.removeIf(x -> x == c);
        if (removed) {
            size--;
        }
        return removed;
    }

    /** Removes all calls and passes them on. */
    void drainTo(Consumer<SubmittedCall> out) {
        for (SubQueue q : queues.values()) {
            q.calls.forEach(out);
            q.calls.clear();
        }
        size = 0;
    }

    /**
     * Removes the call that gets the next slot.
     *
     * @param at monotonic time at which it starts, in nanoseconds
     * @param meanNanos mean time that calls hold a slot
     * @return the call; there must be one
     */
    SubmittedCall takeNext(long at, double meanNanos) {
        SubQueue first = null;
        for (SubQueue q : queues.values()) {
            boolean isFirst = first == null
                    || q.key.priority() < first.key.priority()
                    || (q.key.priority() == first.key.priority() && q.usedNanos < first.usedNanos);
            if (!q.calls.isEmpty() && isFirst) {
                first = q;
            }
        }
        SubmittedCall next = order == QueueOrder.ARRIVAL ? first.calls.get(0) : firstOfEqualRank(first, at, meanNanos);
        SubQueue q = queues.get(Key.of(next.submission()));
        minUsedNanosOnArrival = Math.max(minUsedNanosOnArrival, q.usedNanos);
        remove(next);
        return next;
    }

    private SubmittedCall firstOfEqualRank(SubQueue first, long at, double meanNanos) {
        List<SubmittedCall> equals = new ArrayList<>();
        for (SubQueue q : queues.values()) {
            boolean isEqual = q == first
                    || (q.key.priority() == first.key.priority() && q.usedNanos < first.usedNanos + meanNanos);
            if (isEqual) {
                equals.addAll(q.calls);
            }
        }
        return dueDates.takeFirst(equals, at);
    }

    /**
     * Makes room for a call when the queue is full. The sub-queue of the least urgent priority that has the most waiting
     * calls is considered. If its priority is less urgent than that of the new call, or is the same and it has at least two
     * more calls than the sub-queue of the new call, it loses the call that would be served last.
     *
     * @param c the new call
     * @param now monotonic time in nanoseconds
     * @return the removed call, or null if the new call gets no room
     */
    SubmittedCall makeRoomFor(SubmittedCall c, long now) {
        SubQueue from = null;
        for (SubQueue q : queues.values()) {
            boolean losesFirst = from == null
                    || q.key.priority() > from.key.priority()
                    || (q.key.priority() == from.key.priority() && q.calls.size() > from.calls.size());
            if (!q.calls.isEmpty() && losesFirst) {
                from = q;
            }
        }
        Key key = Key.of(c.submission());
        SubQueue own = queues.get(key);
        boolean isLessUrgent = from != null && from.key.priority() > key.priority();
        boolean isLonger = from != null
                && from.key.priority() == key.priority()
                && from.calls.size() > (own == null ? 0 : own.calls.size()) + 1;
        if (!isLessUrgent && !isLonger) {
            return null;
        }
        SubmittedCall out =
                order == QueueOrder.ARRIVAL ? from.calls.get(from.calls.size() - 1) : dueDates.last(from.calls, now);
        remove(out);
        return out;
    }

    /**
     * Charges slot time to the team of a call, if it has a sub-queue at the priority of the call.
     *
     * @param s the submission of the call
     * @param nanos the slot time, negative to correct an earlier charge
     * @return whether it was charged
     */
    boolean charge(Submission s, double nanos) {
        SubQueue q = queues.get(Key.of(s));
        if (q != null) {
            q.usedNanos += nanos;
        }
        return q != null;
    }

    /** Removes empty sub-queues if there are too many. */
    void forgetIdle() {
        if (queues.size() > MAX_REMEMBERED) {
            queues.values().removeIf(q -> q.calls.isEmpty());
        }
    }
}
