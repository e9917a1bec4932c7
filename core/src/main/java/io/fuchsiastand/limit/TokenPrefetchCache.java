package io.fuchsiastand.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches tokens that an ingress daemon has prefetched from the holder of a shard, and refusals of the holder that are
 * still valid. For a team and service with a low request rate, the daemon sends one acquire message per request and
 * prefetches nothing. For one with a high rate, it prefetches small batches of tokens; a batch expires soon, so that
 * the daemon does not keep tokens that other daemons need.
 */
public final class TokenPrefetchCache {

    private static final int MAX_ENTRIES = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    // Requests per second from which the daemon prefetches tokens.
    private static final double MIN_PREFETCH_RATE = 30;
    // Time constant of the moving average of the request rate.
    private static final double RATE_SMOOTHING_SECONDS = 0.5;
    private static final int MAX_BATCH_TOKENS = 64;
    // Time after a prefetch in which no other one starts, unless the holder answers earlier.
    private static final long PREFETCH_INTERVAL_NANOS = 50_000_000;

    private final Map<TeamService, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    /** The batches, the last refusal and the request rate of one team and service. */
    private static final class Entry {
        private final Deque<Batch> batches = new ArrayDeque<>(2);
        private int tokens;
        private long prefetchBlockedUntil;
        private long refusedUntil;
        private double requestsPerSecond;
        private long lastRequest;
    }

    /** Tokens that one reply of the holder granted and that expire together. */
    private static final class Batch {
        private final long expiry;
        private int tokens;

        private Batch(int tokens, long expiry) {
            this.tokens = tokens;
            this.expiry = expiry;
        }
    }

    /** The result of a lookup for one request. */
    public enum Answer {
        /** The cache took a token from a batch for the request. */
        GRANTED,
        /** As {@link #GRANTED}, but few tokens are left: the daemon should prefetch more in the background. */
        GRANTED_LOW,
        /** A refusal of the holder is still valid: no token is available before it ends. */
        REFUSED,
        /** The cache has neither a token nor a valid refusal: the daemon must ask the holder. */
        ASK
    }

    /**
     * Takes a token for a request from the cache, if there is one, and counts the request in the request rate.
     *
     * @param key the team and the service
     * @param now monotonic time in nanoseconds
     * @return whether the request is granted or refused, or the holder must be asked
     */
    public synchronized Answer take(TeamService key, long now) {
        Entry e = entries.computeIfAbsent(key, k -> new Entry());
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
        updateRequestRate(e, now);
        removeExpired(e, now);
        if (e.tokens > 0) {
            takeToken(e);
            boolean low = e.tokens < batchSize(e) / 2 && now >= e.prefetchBlockedUntil;
            if (low) {
                e.prefetchBlockedUntil = now + PREFETCH_INTERVAL_NANOS;
            }
            return low ? Answer.GRANTED_LOW : Answer.GRANTED;
        }
        return now < e.refusedUntil ? Answer.REFUSED : Answer.ASK;
    }

    /**
     * Returns how many tokens the daemon should prefetch, in addition to the one for the request.
     *
     * @param key the team and the service
     * @return the number of tokens, 0 if the request rate is low
     */
    public synchronized int batchSizeFor(TeamService key) {
        Entry e = entries.get(key);
        return e == null ? 0 : batchSize(e);
    }

    /**
     * Returns how long a cached refusal is still valid.
     *
     * @param key the team and the service
     * @param now monotonic time in nanoseconds
     * @return milliseconds, at least 1
     */
    public synchronized long retryAfterMillis(TeamService key, long now) {
        Entry e = entries.get(key);
        return e == null ? 1 : Math.max(1, (e.refusedUntil - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    }

    /**
     * Stores the decision of a holder: the tokens of a batch, or the time until which a refusal is valid. Any other
     * result discards the cached tokens of the team and service.
     *
     * @param key the team and the service
     * @param grant the decision
     * @param sentAt monotonic time in nanoseconds at which the daemon sent the acquire request; validity counts from it
     */
    public synchronized void storeDecision(TeamService key, Grant grant, long sentAt) {
        Entry e = entries.computeIfAbsent(key, k -> new Entry());
        switch (grant.result()) {
            case GRANTED -> {
                if (grant.batch() > 0) {
                    e.batches.add(new Batch(grant.batch(), sentAt + grant.validMillis() * NANOS_PER_MILLI));
                    e.tokens += grant.batch();
                }
            }
            case OVER_RATE -> e.refusedUntil = sentAt + grant.retryAfterMillis() * NANOS_PER_MILLI;
            default -> {
                e.batches.clear();
                e.tokens = 0;
            }
        }
        e.prefetchBlockedUntil = 0;
    }

    private static void removeExpired(Entry e, long now) {
        while (!e.batches.isEmpty() && (now >= e.batches.peek().expiry || e.batches.peek().tokens == 0)) {
            e.tokens -= e.batches.poll().tokens;
        }
    }

    private static void takeToken(Entry e) {
        e.tokens--;
        e.batches.peek().tokens--;
        if (e.batches.peek().tokens == 0) {
            e.batches.poll();
        }
    }

    private static int batchSize(Entry e) {
        if (e.requestsPerSecond < MIN_PREFETCH_RATE) {
            return 0;
        }
        double batchSeconds = ShardLedger.BATCH_TERM.toNanos() / NANOS_PER_SECOND;
        return (int) Math.min(MAX_BATCH_TOKENS, e.requestsPerSecond * batchSeconds);
    }

    private static void updateRequestRate(Entry e, long now) {
        double gap = Math.max(1e-6, (now - e.lastRequest) / NANOS_PER_SECOND);
        double weight = Math.exp(-gap / RATE_SMOOTHING_SECONDS);
        e.requestsPerSecond = e.requestsPerSecond * weight + 1 / RATE_SMOOTHING_SECONDS;
        e.requestsPerSecond = Math.min(e.requestsPerSecond, 1e6);
        e.lastRequest = now;
    }
}
