package io.fuchsiastand.daemon.http;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;

/**
 * The open connections of callers. Least recently used: when there are too many, the one is closed whose last request has
 * ended, or whose current one has begun to arrive, the longest time ago. A connection whose request is handled stays open; if
 * all are, the new one is closed.
 *
 * <p>Thread-safe.
 */
public final class CallerConnections {

    private static final Duration POLL_PERIOD = Duration.ofMillis(5);

    private final Set<Channel> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong closedForRoom = new AtomicLong();
    private final int maxOpen;
    private volatile boolean closing;

    /** Creates an empty set without a bound. */
    public CallerConnections() {
        this(Integer.MAX_VALUE);
    }

    /**
     * Creates an empty set.
     *
     * @param maxOpen the maximum number of open connections
     */
    public CallerConnections(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int size() {
        return open.size();
    }

    /**
     * Returns how often a connection was closed because there were too many.
     *
     * @return the number since the start
     */
    public long closedForRoom() {
        return closedForRoom.get();
    }

    /**
     * Adds a connection until it is closed. Closes it if the connections are being closed.
     *
     * @param channel the channel of the connection, which has a {@link ConnectionGuard}
     */
    void add(Channel channel) {
        open.add(channel);
        channel.closeFuture().addListener(f -> open.remove(channel));
        if (closing) {
            ConnectionGuard.closeAtEnd(channel);
        } else if (open.size() > maxOpen) {
            closedForRoom.incrementAndGet();
            ConnectionGuard.closeForRoom(leastRecentlyUsed(channel));
        }
    }

    private Channel leastRecentlyUsed(Channel newest) {
        Channel oldest = newest;
        ConnectionGuard oldestGuard = newest.pipeline().get(ConnectionGuard.class);
        for (Channel c : open) {
            ConnectionGuard guard = c.pipeline().get(ConnectionGuard.class);
            if (guard != null && guard.isUnused() && guard.unusedSinceNanos() - oldestGuard.unusedSinceNanos() < 0) {
                oldest = c;
                oldestGuard = guard;
            }
        }
        return oldest;
    }

    /**
     * Closes all connections because the daemon ends. A caller whose request has no response yet receives status 502. Waits
     * until all data has been written and the connections are closed.
     *
     * @param maxWait the maximum time to wait
     */
    public void close(Duration maxWait) {
        closing = true;
        open.forEach(ConnectionGuard::closeAtEnd);
        long end = System.nanoTime() + maxWait.toNanos();
        try {
            while (!open.isEmpty() && System.nanoTime() - end < 0) {
                Thread.sleep(POLL_PERIOD.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
