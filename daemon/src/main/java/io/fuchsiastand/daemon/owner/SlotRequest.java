package io.fuchsiastand.daemon.owner;

import io.fuchsiastand.queue.FairQueue;

/**
 * Request of a call for a slot of a backend server. Keeps the permit, or releases it if the request is cancelled. Releases it
 * without holding its lock, since the release runs the next call of the queue.
 */
final class SlotRequest {

    private volatile Runnable removeFromQueue = () -> {};
    private FairQueue.Permit permit;
    private boolean cancelled;

    /**
     * Sets how a call is taken out of the queue.
     *
     * @param removal removes the call if it still waits
     */
    void setRemoval(Runnable removal) {
        removeFromQueue = removal;
    }

    /**
     * Records that the queue has granted a permit.
     *
     * @param granted the permit, which is released at once if the request was cancelled
     * @return true if the call can run
     */
    boolean grant(FairQueue.Permit granted) {
        synchronized (this) {
            if (!cancelled) {
                permit = granted;
                return true;
            }
        }
        granted.release();
        return false;
    }

    /** Takes the call out of the queue, or releases its permit if it has one. */
    void cancel() {
        FairQueue.Permit held;
        synchronized (this) {
            cancelled = true;
            held = permit;
        }
        removeFromQueue.run();
        if (held != null) {
            held.release();
        }
    }
}
