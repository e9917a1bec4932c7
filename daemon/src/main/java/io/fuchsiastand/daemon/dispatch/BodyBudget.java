package io.fuchsiastand.daemon.dispatch;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory for request bodies that are kept until their request is answered, so that it can be sent to another
 * backend server if one refuses it. Short bodies are always kept. A longer one is kept if its length is known and the
 * budget of the daemon allows it; otherwise it is streamed and can be sent only once.
 *
 * <p>Thread-safe.
 */
final class BodyBudget {

    private static final long MAX_SHORT_BODY_BYTES = 64 * 1024;
    private static final long MAX_KEPT_BODY_BYTES = 1024 * 1024;

    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param maxBytes the maximum total length of the longer bodies that are kept at the same time
     */
    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Decides whether a body is kept, and if so reserves memory for it.
     *
     * @param length the length in bytes, or a larger number than any body may have if it is unknown
     * @return true if it is kept; then {@link #release} must be called once
     */
    boolean tryReserve(long length) {
        if (length <= MAX_SHORT_BODY_BYTES) {
            return true;
        }
        if (length > MAX_KEPT_BODY_BYTES) {
            return false;
        }
        if (reservedBytes.addAndGet(length) > maxBytes) {
            reservedBytes.addAndGet(-length);
            return false;
        }
        return true;
    }

    /**
     * Releases the memory of a body that was kept.
     *
     * @param length the length with which it was reserved
     */
    void release(long length) {
        if (length > MAX_SHORT_BODY_BYTES) {
            reservedBytes.addAndGet(-length);
        }
    }
}
