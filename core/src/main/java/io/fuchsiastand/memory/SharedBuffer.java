package io.fuchsiastand.memory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Longest queue drop: all connections of a host share one buffer for messages that are not complete, and when it is full, the
 * connection that holds the most of it is closed. A connection that holds little is not closed for the sake of one that holds
 * more. The sizes are what the messages cost in memory, not their bytes on the wire.
 *
 * <p>A connection that is being closed still takes its memory. While those take as much as the buffer, the others may not grow
 * beyond a small size.
 *
 * <p>Thread-safe.
 */
public final class SharedBuffer {

    // Part of the buffer that a connection may hold while others are being closed.
    private static final int SMALL_DIVISOR = 128;

    private final long capacityBytes;
    private final Set<Share> holders = new HashSet<>();
    private long heldBytes;
    private long closingBytes;
    private long drops;

    /**
     * Creates an empty buffer.
     *
     * @param capacityBytes what all connections may hold together, in bytes
     */
    public SharedBuffer(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** What one connection holds. */
    public final class Share {

        private final Runnable drop;
        private long bytes;
        private boolean dropped;

        private Share(Runnable drop) {
            this.drop = drop;
        }

        /**
         * Sets what the connection holds. If the buffer is full then, it drops the connections that hold the most, which may
         * include this one.
         *
         * @param newBytes the size in bytes, or 0 when the connection holds nothing or is closed
         * @return false if this connection was dropped, now or before
         */
        public boolean hold(long newBytes) {
            List<Share> victims = new ArrayList<>(0);
            synchronized (SharedBuffer.this) {
                if (dropped) {
                    if (newBytes == 0) {
                        closingBytes -= bytes;
                        bytes = 0;
                    }
                    return false;
                }
                boolean grows = newBytes > bytes;
                set(this, newBytes);
                if (grows
                        && newBytes > capacityBytes / SMALL_DIVISOR
                        && heldBytes + closingBytes - capacityBytes > capacityBytes) {
                    victims.add(beginClosing(this));
                }
                while (heldBytes > capacityBytes && !holders.isEmpty()) {
                    victims.add(beginClosing(Collections.max(holders, Comparator.comparingLong(s -> s.bytes))));
                }
            }
            victims.forEach(v -> v.drop.run());
            return !victims.contains(this);
        }

        /**
         * Lets the connection hold more if no more than what stays free after it (dynamic threshold). Drops no connection, and
         * leaves as much to one that holds nothing yet as the largest one has got in this way.
         *
         * @param newBytes the size in bytes
         * @return true if the connection holds it now
         */
        public boolean tryHold(long newBytes) {
            synchronized (SharedBuffer.this) {
                long free = capacityBytes - closingBytes - (heldBytes - bytes + newBytes);
                if (dropped || newBytes > free) {
                    return false;
                }
                set(this, newBytes);
                return true;
            }
        }
    }

    /**
     * Creates the share of a connection, which holds nothing yet. It must be set to 0 when the connection is closed.
     *
     * @param drop closes the connection; called at most once, on the thread of the connection that fills the buffer
     * @return the share
     */
    public Share newShare(Runnable drop) {
        return new Share(drop);
    }

    /**
     * Reserves memory if there is room, without dropping a connection.
     *
     * @param bytes the size in bytes
     * @return true if it is reserved; then {@link #release} must be called once
     */
    public synchronized boolean tryReserve(long bytes) {
        if (heldBytes + bytes > capacityBytes) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /**
     * Releases reserved memory.
     *
     * @param bytes the size with which it was reserved
     */
    public synchronized void release(long bytes) {
        heldBytes -= bytes;
    }

    /**
     * Returns what is held and reserved.
     *
     * @return the size in bytes
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns how often a connection was dropped.
     *
     * @return the number since the start
     */
    public synchronized long drops() {
        return drops;
    }

    private Share beginClosing(Share s) {
        long bytes = s.bytes;
        set(s, 0);
        s.bytes = bytes;
        s.dropped = true;
        closingBytes += bytes;
        drops++;
        return s;
    }

    private void set(Share s, long newBytes) {
        heldBytes += newBytes - s.bytes;
        s.bytes = newBytes;
        if (newBytes > 0) {
            holders.add(s);
        } else {
            holders.remove(s);
        }
    }
}
