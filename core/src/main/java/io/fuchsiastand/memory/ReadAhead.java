package io.fuchsiastand.memory;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.ToLongFunction;

/**
 * Dynamic threshold: a response whose reader is slow is read ahead of it into the buffer of the host, as long as it holds
 * no more than what is left free there. A single slow reader gets half of the buffer, and each of n gets an (n+1)th. A response
 * that has reached its threshold is read on only as its reader takes it, like one that is not read ahead.
 *
 * <p>The parts of the response stay as they are, and in order. Not thread-safe.
 *
 * @param <T> the type of the parts
 */
public final class ReadAhead<T> {

    // Expected cost of the first part. Later ones are expected to cost as much as the one before.
    private static final long MIN_PART_BYTES = 2_048;

    private final SharedBuffer.Share share;
    private final ToLongFunction<T> cost;
    private final Queue<T> parts = new ArrayDeque<>(2);
    private long partBytes;
    private long expectedPartBytes = MIN_PART_BYTES;
    private long heldBytes;
    private long outstanding;

    /**
     * Creates the buffer of one response.
     *
     * @param share the share of the response in the buffer of the host
     * @param cost what a part takes in memory, in bytes
     */
    public ReadAhead(SharedBuffer.Share share, ToLongFunction<T> cost) {
        this.share = share;
        this.cost = cost;
    }

    /**
     * Adds a part that was requested.
     *
     * @param part the part
     */
    public void add(T part) {
        outstanding--;
        long bytes = cost.applyAsLong(part);
        expectedPartBytes = Math.max(MIN_PART_BYTES, bytes);
        partBytes += bytes;
        parts.add(part);
    }

    /**
     * Removes the oldest part.
     *
     * @return the part, or null if there is none
     */
    public T poll() {
        T part = parts.poll();
        if (part != null) {
            partBytes -= cost.applyAsLong(part);
        }
        return part;
    }

    /**
     * Returns whether the reader has taken all parts.
     *
     * @return true if no part is left
     */
    public boolean isEmpty() {
        return parts.isEmpty();
    }

    /**
     * Returns what the parts take in memory.
     *
     * @return the size in bytes
     */
    public long partBytes() {
        return partBytes;
    }

    /**
     * Decides how many parts to request: those that the reader waits for, and one more if there is room. They count as
     * outstanding until they are added.
     *
     * @param demand the number of parts that the reader waits for
     * @return the number of parts to request
     */
    public long request(long demand) {
        long missing = Math.max(0, demand - outstanding);
        outstanding += missing;
        boolean isAhead = outstanding > demand;
        hold(partBytes + (isAhead ? expectedPartBytes : 0));
        if (isAhead || outstanding == Long.MAX_VALUE || !share.tryHold(partBytes + expectedPartBytes)) {
            return missing;
        }
        heldBytes = partBytes + expectedPartBytes;
        outstanding++;
        return missing + 1;
    }

    /** Records that the response is complete. */
    public void complete() {
        outstanding = 0;
        hold(partBytes);
    }

    /** Releases the memory. */
    public void clear() {
        parts.clear();
        partBytes = 0;
        heldBytes = 0;
        share.hold(0);
    }

    private void hold(long bytes) {
        if (bytes != heldBytes) {
            heldBytes = bytes;
            share.hold(bytes);
        }
    }
}
