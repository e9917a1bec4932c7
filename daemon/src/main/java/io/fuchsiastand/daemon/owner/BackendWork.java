package io.fuchsiastand.daemon.owner;

import java.util.concurrent.atomic.LongAdder;
import java.util.stream.DoubleStream;

import io.fuchsiastand.memory.RequestBytes;
import io.fuchsiastand.work.WaterFilling;
import io.fuchsiastand.work.WorkEstimates;
import io.fuchsiastand.work.WorkKind;
import org.tinylog.Logger;

/** The expected work of the calls to one backend server: what each kind costs, what waits, and the bodies of those in flight. */
public final class BackendWork {

    private static final double MICROS_PER_MILLI = 1e3;

    private final String backend;
    private final boolean published;
    private final WorkEstimates estimates = new WorkEstimates();
    private final LongAdder waitingMicros = new LongAdder();
    private final RequestBytes requestBytes = new RequestBytes();

    /**
     * Creates the work of a backend server without calls.
     *
     * @param backend the name of the backend server
     * @param published whether answers to ingress daemons state it
     */
    BackendWork(String backend, boolean published) {
        this.backend = backend;
        this.published = published;
    }

    /**
     * Returns the estimates.
     *
     * @return the estimates of the time for which calls hold a slot
     */
    public WorkEstimates estimates() {
        return estimates;
    }

    /**
     * Returns the bodies of the calls in flight.
     *
     * @return what the backend server may hold in memory
     */
    public RequestBytes requestBytes() {
        return requestBytes;
    }

    boolean isPublished() {
        return published;
    }

    void learn(WorkKind kind, double millis) {
        estimates
                .learn(kind, millis)
                .ifPresent(x -> Logger.info(
                        "calls of kind {} hold a slot of backend server {} for {} ms",
                        kind.toText(),
                        backend,
                        Math.round(x)));
    }

    /**
     * Records the start of the wait of a call for a slot.
     *
     * @param kind the kind of the call
     * @return to be run once, when the wait ends
     */
    Runnable beginWait(WorkKind kind) {
        long micros = Math.round(estimates.expectedMillis(kind) * MICROS_PER_MILLI);
        waitingMicros.add(micros);
        return () -> waitingMicros.add(-micros);
    }

    // The time in milliseconds until the running calls, those that wait and one more are done.
    double busyMillis(DoubleStream remainingMillis, int slots) {
        double waiting = Math.max(0, waitingMicros.sum()) / MICROS_PER_MILLI;
        return WaterFilling.busyTime(
                remainingMillis.filter(x -> x > 0).toArray(), slots, waiting + estimates.meanMillis());
    }
}
