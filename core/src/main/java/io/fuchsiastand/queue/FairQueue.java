package io.fuchsiastand.queue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.time.Clock;

/**
 * Limits the concurrent calls to one backend server to its number of slots and keeps a short queue of waiting calls.
 * More urgent calls are always admitted first. Calls of the same priority are admitted by start-time fair queueing on the
 * slot time that teams used ({@link SubQueues}), and calls of equal rank by the {@link QueueOrder}. Slot time is counted
 * only while the team has a sub-queue, which is created when a call of the team first has to wait.
 *
 * <p>When the queue is full, the least urgent calls, or those of the team with the most waiting calls, make room for the new
 * one, or it is refused. A call that is not expected to finish by its deadline is refused at once. With
 * {@link QueueOrder#DUE_DATE} this goes by the expected work before the call and its own; a call that is expected to wait
 * longer than its submission allows is refused too, and waiting calls that a more urgent one makes miss their deadline are
 * refused when it arrives. A call that finds a free slot and an empty queue is always admitted.
 *
 * <p>Thread-safe. Callbacks run on the thread that calls the queue, outside the lock.
 */
public final class FairQueue {

    /** The shortest wait that is reported to a refused caller, in milliseconds. */
    public static final long MIN_WAIT_MILLIS = 50;

    // Weight of the newest call in the moving average of the time that calls hold a slot.
    private static final double SMOOTHING = 0.1;

    private final Clock clock;
    private final QueueOrder order;
    private final SubQueues waiting;
    private final Set<Permit> running = new HashSet<>();
    private int slots;
    private int capacity;
    private long submitted;
    private double meanHoldNanos;

    /** A callback to run after the lock is released: it admits the call with a permit or refuses it. */
    private record Callback(SubmittedCall call, Permit permit, QueueRefusal refusal) {

        private void run() {
            if (permit != null) {
                call.admitted().accept(permit);
            } else {
                call.refused().accept(refusal);
            }
        }
    }

    /** The predicted start of a call, as a refusal at that time; {@code isRefused} says whether it comes to that. */
    private record Prediction(SubmittedCall call, boolean isRefused, QueueRefusal refusal) {}

    /** Permission of one call to use a slot until it releases the permit. */
    public final class Permit {
        private final SubmittedCall call;
        private final long since = clock.nanoTime();
        // The slot time that the team was charged when the call got the slot.
        private double chargedNanos;
        private Runnable onRelease = () -> {};

        private Permit(SubmittedCall call) {
            this.call = call;
        }

        /**
         * Sets what is released together with the slot, before the next call gets it.
         *
         * @param action run once; at once if the permit is released already
         */
        public void onRelease(Runnable action) {
            synchronized (FairQueue.this) {
                if (running.contains(this)) {
                    onRelease = action;
                    return;
                }
            }
            action.run();
        }

        /** Releases the slot. Calls after the first have no effect. */
        public void release() {
            releaseSlot(this);
        }
    }

    /**
     * Creates a queue with the order {@link QueueOrder#ARRIVAL}.
     *
     * @param slots the maximum number of calls that run concurrently
     * @param capacity the maximum number of calls that wait
     * @param clock the clock
     */
    public FairQueue(int slots, int capacity, Clock clock) {
        this(slots, capacity, clock, QueueOrder.ARRIVAL);
    }

    /**
     * Creates a queue.
     *
     * @param slots the maximum number of calls that run concurrently
     * @param capacity the maximum number of calls that wait
     * @param clock the clock
     * @param order the order of calls of equal rank
     */
    public FairQueue(int slots, int capacity, Clock clock, QueueOrder order) {
        this.slots = slots;
        this.capacity = capacity;
        this.clock = clock;
        this.order = order;
        waiting = new SubQueues(order);
    }

    /**
     * Changes the number of slots and the capacity of the queue. Calls that run or wait are not affected. Waiting calls
     * get additional slots only when the next running call ends.
     *
     * @param newSlots the maximum number of calls that run concurrently
     * @param newCapacity the maximum number of calls that wait
     */
    public synchronized void resize(int newSlots, int newCapacity) {
        slots = newSlots;
        capacity = newCapacity;
    }

    /**
     * Returns the order of calls of equal rank.
     *
     * @return the order
     */
    public QueueOrder order() {
        return order;
    }

    /**
     * Submits a call of priority 0 without a target: admits it, lets it wait, or refuses it.
     *
     * @param team the name of the team that makes the call
     * @param deadline monotonic time by which the call must finish, in nanoseconds
     * @param admitted run when the call may start; it must release the permit when the call has ended
     * @param refused run instead when the call is refused or dropped from the queue
     * @return a function that removes the call from the queue if it still waits; then neither callback is run
     */
    public Runnable submit(String team, long deadline, Consumer<Permit> admitted, Consumer<ErrorCode> refused) {
        return submit(Submission.builder(team, deadline).build(), admitted, r -> refused.accept(r.code()));
    }

    /**
     * Submits a call: admits it, lets it wait, or refuses it.
     *
     * @param s the call
     * @param admitted run when the call may start; it must release the permit when the call has ended
     * @param refused run instead when the call is refused or dropped from the queue
     * @return a function that removes the call from the queue if it still waits; then neither callback is run
     */
    public Runnable submit(Submission s, Consumer<Permit> admitted, Consumer<QueueRefusal> refused) {
        List<Callback> callbacks = new ArrayList<>(2);
        SubmittedCall c;
        synchronized (this) {
            c = new SubmittedCall(submitted++, s, expectedNanos(s), admitted, refused);
            if (running.size() < slots && waiting.size() == 0) {
                admit(c, callbacks);
            } else if (order == QueueOrder.DUE_DATE) {
                submitByDueDate(c, callbacks);
            } else if (s.deadline() - clock.nanoTime() < meanWaitNanos(waiting.size() + 1)) {
                callbacks.add(new Callback(c, null, refusal(c, ErrorCode.DEADLINE_NOT_RUN)));
            } else {
                enqueue(c, refusal(c, ErrorCode.QUEUE_FULL), callbacks);
            }
        }
        callbacks.forEach(Callback::run);
        return () -> cancel(c);
    }

    private void submitByDueDate(SubmittedCall c, List<Callback> callbacks) {
        QueueRefusal ifFull = null;
        for (Prediction p : predict(c)) {
            if (p.isRefused()) {
                callbacks.add(new Callback(p.call(), null, p.refusal()));
                waiting.remove(p.call());
            } else if (p.call() == c) {
                ifFull = p.refusal();
            }
        }
        if (ifFull != null) {
            enqueue(c, ifFull, callbacks);
        }
    }

    // Predicts when the waiting calls and a new one start, in their order, and which of them would miss their deadlines
    // or
    // wait too long. Refused calls take no slots, so those behind them are predicted to start earlier.
    private List<Prediction> predict(SubmittedCall c) {
        long now = clock.nanoTime();
        SubQueues predicted = waiting.copyWith(c);
        SlotSchedule schedule = new SlotSchedule(slots, now);
        running.forEach(p -> schedule.addRunning(p.since, p.call.expectedNanos()));
        List<Prediction> out = new ArrayList<>(predicted.size());
        while (predicted.size() > 0) {
            long start = schedule.nextStart();
            SubmittedCall next = predicted.takeNext(start, meanHoldNanos);
            boolean waitsTooLong = next == c && start - now > c.submission().maxWaitNanos();
            boolean missesDeadline = next.missesDeadline(start);
            ErrorCode code = missesDeadline ? ErrorCode.DEADLINE_NOT_RUN : ErrorCode.QUEUE_FULL;
            QueueRefusal r = new QueueRefusal(code, start - now, schedule.workNanos(), next.expectedNanos());
            out.add(new Prediction(next, missesDeadline || waitsTooLong, r));
            if (!missesDeadline && !waitsTooLong) {
                schedule.add(next.expectedNanos());
                predicted.charge(next.submission(), next.expectedNanos());
            }
        }
        return out;
    }

    /**
     * Predicts where a call would stand if it were submitted now. Nothing changes.
     *
     * @param s the call
     * @return the position
     */
    public synchronized QueuePosition positionOf(Submission s) {
        if (running.size() < slots && waiting.size() == 0) {
            return new QueuePosition(0, 0, Optional.empty());
        }
        SubmittedCall c = new SubmittedCall(submitted, s, expectedNanos(s), permit -> {}, refusal -> {});
        if (order == QueueOrder.DUE_DATE) {
            List<Prediction> starts = predict(c).stream()
                    .filter(p -> p.call() == c || !p.isRefused())
                    .toList();
            int before = 0;
            while (starts.get(before).call() != c) {
                before++;
            }
            Prediction own = starts.get(before);
            return new QueuePosition(
                    before,
                    own.refusal().waitNanos(),
                    own.isRefused() ? Optional.of(own.refusal().code()) : Optional.empty());
        }
        SubQueues predicted = waiting.copyWith(c);
        int before = 0;
        while (predicted.takeNext(clock.nanoTime(), meanHoldNanos) != c) {
            before++;
        }
        boolean missesDeadline = s.deadline() - clock.nanoTime() < meanWaitNanos(waiting.size() + 1);
        return new QueuePosition(
                before,
                (long) meanWaitNanos(before + 1),
                missesDeadline ? Optional.of(ErrorCode.DEADLINE_NOT_RUN) : Optional.empty());
    }

    private long expectedNanos(Submission s) {
        return s.expectedNanos() > 0 ? s.expectedNanos() : (long) meanHoldNanos;
    }

    private synchronized void cancel(SubmittedCall c) {
        waiting.remove(c);
    }

    /**
     * Refuses all waiting calls, for example because the backend server accepts no new ones.
     *
     * @param reason the error code of the refusals
     */
    public void refuseAll(ErrorCode reason) {
        List<Callback> callbacks = new ArrayList<>();
        synchronized (this) {
            waiting.drainTo(c -> callbacks.add(new Callback(c, null, refusal(c, reason))));
        }
        callbacks.forEach(Callback::run);
    }

    /**
     * Returns the number of calls that run or wait.
     *
     * @return the number
     */
    public synchronized int load() {
        return running.size() + waiting.size();
    }

    /**
     * Returns the number of calls that wait.
     *
     * @return the number
     */
    public synchronized int waiting() {
        return waiting.size();
    }

    /**
     * Returns the number of calls that run.
     *
     * @return the number
     */
    public synchronized int running() {
        return running.size();
    }

    /**
     * Estimates the time after which a new call would get a slot, from the mean time that calls hold a slot.
     *
     * @return milliseconds, at least {@link #MIN_WAIT_MILLIS}
     */
    public synchronized long estimatedWaitMillis() {
        return Math.max(MIN_WAIT_MILLIS, (long) (meanWaitNanos(waiting.size() + 1) / 1e6));
    }

    /**
     * Returns the moving average of the time that calls hold a slot.
     *
     * @return milliseconds, or 0 before any call has ended
     */
    public synchronized double meanHoldMillis() {
        return meanHoldNanos / 1e6;
    }

    private void enqueue(SubmittedCall c, QueueRefusal ifFull, List<Callback> callbacks) {
        if (waiting.size() < capacity) {
            waiting.add(c);
            return;
        }
        SubmittedCall dropped = waiting.makeRoomFor(c, clock.nanoTime());
        if (dropped == null) {
            callbacks.add(new Callback(c, null, ifFull));
        } else {
            callbacks.add(new Callback(dropped, null, refusal(dropped, ErrorCode.QUEUE_FULL)));
            waiting.add(c);
        }
    }

    private QueueRefusal refusal(SubmittedCall c, ErrorCode code) {
        return new QueueRefusal(code, (long) meanWaitNanos(waiting.size() + 1), 0, c.expectedNanos());
    }

    private void admit(SubmittedCall c, List<Callback> callbacks) {
        Permit p = new Permit(c);
        running.add(p);
        if (order == QueueOrder.DUE_DATE && waiting.charge(c.submission(), c.expectedNanos())) {
            p.chargedNanos = c.expectedNanos();
        }
        callbacks.add(new Callback(c, p, null));
    }

    private void releaseSlot(Permit permit) {
        List<Callback> callbacks = new ArrayList<>(2);
        synchronized (this) {
            if (!running.remove(permit)) {
                return;
            }
            permit.onRelease.run();
            double nanos = clock.nanoTime() - permit.since;
            meanHoldNanos = meanHoldNanos == 0 ? nanos : meanHoldNanos + SMOOTHING * (nanos - meanHoldNanos);
            waiting.charge(permit.call.submission(), nanos - permit.chargedNanos);
            admitWaiting(callbacks);
            waiting.forgetIdle();
        }
        callbacks.forEach(Callback::run);
    }

    private void admitWaiting(List<Callback> callbacks) {
        long now = clock.nanoTime();
        while (running.size() < slots && waiting.size() > 0) {
            SubmittedCall c = waiting.takeNext(now, meanHoldNanos);
            boolean missesDeadline = order == QueueOrder.DUE_DATE
                    ? c.missesDeadline(now)
                    : c.submission().deadline() - now < 0;
            if (missesDeadline) {
                callbacks.add(new Callback(c, null, refusal(c, ErrorCode.DEADLINE_NOT_RUN)));
            } else {
                admit(c, callbacks);
            }
        }
    }

    private double meanWaitNanos(int callsToEnd) {
        return meanHoldNanos * callsToEnd / Math.max(1, slots);
    }
}
