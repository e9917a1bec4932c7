package io.fuchsiastand.daemon.dispatch;

import java.util.concurrent.atomic.AtomicLong;

import io.fuchsiastand.memory.SharedBuffer;

/**
 * Limits the memory for request bodies that are kept until their request is answered, so that it can be sent to another
 * backend server if one refuses it. Short bodies are kept as long as the memory of the host for messages has room. A longer
 * one is kept if its length is known and the budget of the daemon allows it too; otherwise it is streamed and can be sent
 * only once.
 *
 * <p>Thread-safe.
 */
final class BodyBudget {

    private static final long MAX_SHORT_BODY_BYTES = 64 * 1024;
    private static final long MAX_KEPT_BODY_BYTES = 1024 * 1024;

    private final long maxBytes;
    private final SharedBuffer buffer;
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param maxBytes the maximum total length of the longer bodies that are kept at the same time
     * @param buffer the memory of the host for messages, which includes all kept bodies
     */
    BodyBudget(long maxBytes, SharedBuffer buffer) {
        this.maxBytes = maxBytes;
        this.buffer = buffer;
    }

    /**
     * Decides whether a body is kept, and if so reserves memory for it.
     *
     * @param length the length in bytes, or a larger number than any body may have if it is unknown
     * @return true if it is kept; then {@link #release} must be called once
     */
    boolean tryReserve(long length) {
        if (length <= MAX_SHORT_BODY_BYTES) {
            return buffer.tryReserve(length);
        }
        if (length > MAX_KEPT_BODY_BYTES) {
            return false;
        }
        if (reservedBytes.addAndGet(length) > maxBytes || !buffer.tryReserve(length)) {
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
        buffer.release(length);
        if (length > MAX_SHORT_BODY_BYTES) {
            reservedBytes.addAndGet(-length);
        }
    }
}
