package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.fuchsiastand.time.Clock;

/**
 * The aggregators of the token shards as one daemon sees them. Each token shard has a few candidates in an order on which
 * daemons agree; the first one that this daemon can reach is the aggregator. A daemon that cannot reach the first candidate
 * sends its messages to the next one, which relays them to the first if it can reach it itself. So a failed path between two
 * hosts does not divide the tokens of a team between two aggregators.
 *
 * <p>Thread-safe.
 */
public final class TokenAggregators {

    /** How long a daemon sends nothing to a candidate that did not answer. */
    public static final Duration SKIP_DURATION = Duration.ofSeconds(2);

    private final String self;
    private final Clock clock;
    private final Map<String, Long> skippedUntil = new ConcurrentHashMap<>();
    private volatile Map<Integer, List<String>> candidates = Map.of();

    /**
     * Creates the view of a daemon, without candidates.
     *
     * @param self the name of this host
     * @param clock the clock
     */
    public TokenAggregators(String self, Clock clock) {
        this.self = self;
        this.clock = clock;
    }

    /**
     * Sets the candidates.
     *
     * @param byTokenShard for each token shard, the names of the hosts in order of preference
     */
    public void setCandidates(Map<Integer, List<String>> byTokenShard) {
        candidates = Map.copyOf(byTokenShard);
    }

    /**
     * Returns the aggregator of a token shard.
     *
     * @param tokenShard the number of the token shard
     * @return the name of the host, which may be this one, or empty if no candidate is known to be reachable
     */
    public Optional<String> aggregator(int tokenShard) {
        for (String host : candidates.getOrDefault(tokenShard, List.of())) {
            if (host.equals(self) || !isSkipped(host)) {
                return Optional.of(host);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the host to which this daemon relays a message that another daemon sent to it as the aggregator.
     *
     * @param tokenShard the number of the token shard
     * @param relayed whether the message has been relayed already; it is relayed at most once
     * @return the name of the host, or empty if this daemon handles the message itself
     */
    public Optional<String> relayTarget(int tokenShard, boolean relayed) {
        return relayed ? Optional.empty() : aggregator(tokenShard).filter(h -> !h.equals(self));
    }

    /**
     * Records that a candidate did not answer.
     *
     * @param host the name of the host
     * @return true if it was not skipped before
     */
    public boolean skip(String host) {
        long now = clock.nanoTime();
        Long before = skippedUntil.put(host, now + SKIP_DURATION.toNanos());
        return before == null || now - before > 0;
    }

    private boolean isSkipped(String host) {
        Long until = skippedUntil.get(host);
        return until != null && clock.nanoTime() - until < 0;
    }
}
