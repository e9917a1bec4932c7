package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.fuchsiastand.time.Clock;

/**
 * Decides when an issuer transfers tokens to an aggregator, and of which allowances. For each token shard and aggregator, at
 * most one transfer is in flight, so that the tokens in transit from this host stay below the number that an issuer may
 * store. After each answer, only tokens of the allowances that the aggregator needs are transferred.
 *
 * <p>Thread-safe.
 */
public final class TokenTransfers {

    // Time after which an issuer asks an aggregator that needed no tokens again.
    private static final Duration NEED_CHECK_PERIOD = Duration.ofMillis(400);

    private final Clock clock;
    private final Map<Destination, State> states = new HashMap<>();

    private record Destination(int tokenShard, String host) {}

    /** The state of the transfers to one destination. */
    private static final class State {
        private boolean inFlight;
        private long lastNanos;
        private boolean answered;
        private Set<TeamService> needed = Set.of();
    }

    /**
     * Creates the state of an issuer that has transferred nothing yet.
     *
     * @param clock the clock
     */
    public TokenTransfers(Clock clock) {
        this.clock = clock;
    }

    /**
     * Returns whether a transfer may start.
     *
     * @param tokenShard the number of the token shard
     * @param host the aggregator
     * @return false while the answer to the last one is outstanding
     */
    public synchronized boolean mayStart(int tokenShard, String host) {
        return !stateOf(tokenShard, host).inFlight;
    }

    /**
     * Selects the allowances whose tokens to transfer.
     *
     * @param tokenShard the number of the token shard
     * @param host the aggregator
     * @param all the allowances of the token shard
     * @return those that the aggregator needs according to its last answer, or all if there is none
     */
    public synchronized Set<TeamService> select(int tokenShard, String host, Set<TeamService> all) {
        State s = stateOf(tokenShard, host);
        Set<TeamService> out = new HashSet<>(all);
        if (s.answered) {
            out.retainAll(s.needed);
        }
        return out;
    }

    /**
     * Starts a transfer if there is something to transfer, or if this issuer should ask again what the aggregator needs.
     *
     * @param tokenShard the number of the token shard
     * @param host the aggregator
     * @param hasTokens whether there are tokens to transfer
     * @param issues whether this host issues tokens of the token shard
     * @return whether to send the transfer; then {@link #answered} or {@link #failed} must be called
     */
    public synchronized boolean start(int tokenShard, String host, boolean hasTokens, boolean issues) {
        State s = stateOf(tokenShard, host);
        long now = clock.nanoTime();
        boolean checkDue = issues && now - s.lastNanos >= NEED_CHECK_PERIOD.toNanos();
        if (s.inFlight || (!hasTokens && !checkDue)) {
            return false;
        }
        s.inFlight = true;
        s.lastNanos = now;
        return true;
    }

    /**
     * Records the answer to a transfer.
     *
     * @param tokenShard the number of the token shard
     * @param host the aggregator
     * @param needed the allowances for which it needs more tokens
     */
    public synchronized void answered(int tokenShard, String host, Set<TeamService> needed) {
        State s = stateOf(tokenShard, host);
        s.inFlight = false;
        s.answered = true;
        s.needed = Set.copyOf(needed);
    }

    /**
     * Records that a transfer failed.
     *
     * @param tokenShard the number of the token shard
     * @param host the aggregator
     */
    public synchronized void failed(int tokenShard, String host) {
        State s = stateOf(tokenShard, host);
        s.inFlight = false;
        s.answered = false;
    }

    private State stateOf(int tokenShard, String host) {
        return states.computeIfAbsent(new Destination(tokenShard, host), d -> {
            State s = new State();
            s.lastNanos = clock.nanoTime() - NEED_CHECK_PERIOD.toNanos();
            return s;
        });
    }
}
