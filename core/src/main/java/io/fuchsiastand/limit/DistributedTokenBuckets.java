package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.time.Clock;

/**
 * One daemon's part of the token buckets that the whole fleet shares. Some hosts of the list of token issuers issue
 * tokens for a team, each at its share of the rate, and transfer them to the daemon that aggregates the tokens of the
 * team. Each request takes a token at the aggregator.
 *
 * <p>Each token is issued by one daemon and moves in messages that are sent only once, so no token is ever duplicated.
 * When daemons disagree about the aggregator, lose messages, freeze or are killed, tokens can only be lost. A decision
 * about a request needs no clock shared with other daemons and no store. Issuing needs an {@link IssueLease}.
 *
 * <p>A request that finds no token may reserve one of the next tokens, if its turn comes soon enough, and comes back for it
 * later. A reservation only keeps other requests from taking the token; it grants none, so it does not affect how many
 * requests run.
 *
 * <p>Thread-safe.
 */
public final class DistributedTokenBuckets {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_TRANSFER_TOKENS = 0.05;
    // An aggregator requests more tokens while its pool is below this share of its limit.
    private static final double REFILL_SHARE = 0.7;
    private static final long MAX_RETRY_MILLIS = 2_000;
    // Tokens arrive in transfers, so a request that came back in time may have to wait once more.
    private static final long MIN_WAIT_MILLIS = 20;
    // A reservation ends this long after its time if its request does not come back.
    private static final Duration RESERVATION_GRACE = Duration.ofMillis(500);

    private final UnusedTokenLimits limits;
    private final Clock clock;
    private final Function<TeamService, Optional<Allowance>> allowances;
    private final Supplier<OptionalLong> leaseHeldSince;
    private final Map<TeamService, AllowanceState> states = new HashMap<>();
    private ToDoubleFunction<String> shares = team -> 0;

    /** The state of this daemon for one allowance. */
    private static final class AllowanceState {
        // Tokens that this daemon has issued and has neither transferred nor spent.
        private double issued;
        private long issuedAt;
        // Tokens that this daemon, as the aggregator, has received from other daemons and not spent.
        private double pool;
        // Requests refused lately; the count decreases at the rate of the allowance.
        private double recentRefusals;
        private long refusedAt;
        private double share;
        // Monotonic times at which the reservations end, in the order in which they were made.
        private final Deque<Long> reservations = new ArrayDeque<>();
    }

    /**
     * The decision about a request.
     *
     * @param granted whether a token was taken
     * @param retryAfterMillis time after which a token is expected to be available, if none was taken
     * @param reserved whether a token is reserved for the request, which should come back after that time
     */
    public record Decision(boolean granted, long retryAfterMillis, boolean reserved) {

        private static final Decision GRANTED = new Decision(true, 0, false);

        private static Decision refused(long retryAfterMillis) {
            return new Decision(false, retryAfterMillis, false);
        }
    }

    /**
     * Creates the buckets of a daemon. It issues no tokens until {@link #setIssueShares} is called.
     *
     * @param limits the limits on unused tokens
     * @param allowances returns the current allowance of a team and service, if its plan has one
     * @param leaseHeldSince returns {@link IssueLease#heldSince()}; without the lease, no tokens are issued, and those that were
     *     not transferred before its end are discarded
     * @param clock the clock
     */
    public DistributedTokenBuckets(
            UnusedTokenLimits limits,
            Function<TeamService, Optional<Allowance>> allowances,
            Supplier<OptionalLong> leaseHeldSince,
            Clock clock) {
        this.limits = limits;
        this.allowances = allowances;
        this.leaseHeldSince = leaseHeldSince;
        this.clock = clock;
    }

    /**
     * Sets the share of the tokens of each team that this host issues.
     *
     * @param byTeam the share by the name of the team, from 0 to 1; the shares of all hosts must not sum to more than 1
     */
    public synchronized void setIssueShares(ToDoubleFunction<String> byTeam) {
        states.forEach(this::issue);
        shares = byTeam;
        states.forEach((k, s) -> s.share = byTeam.applyAsDouble(k.team()));
    }

    /**
     * Removes issued tokens from this daemon, to transfer them to an aggregator. If the transfer fails, they are lost.
     *
     * @param keys the teams and services of the allowances whose tokens to transfer
     * @return tokens by team and service of the allowance
     */
    public synchronized Map<TeamService, Double> takeForTransfer(Set<TeamService> keys) {
        Map<TeamService, Double> out = new HashMap<>();
        for (TeamService k : keys) {
            AllowanceState s = stateOf(k);
            issue(k, s);
            // The pool holds tokens from when this daemon was the aggregator. They are discarded: if they were
            // transferred too, more tokens could be in transit than the issuers issue.
            s.pool = 0;
            if (s.issued >= MIN_TRANSFER_TOKENS) {
                out.put(k, s.issued);
                s.issued = 0;
            }
        }
        return out;
    }

    /**
     * Returns whether this daemon issues tokens for any of some allowances.
     *
     * @param keys the teams and services of the allowances
     * @return true if its share of one of them is not 0
     */
    public synchronized boolean issuesAny(Set<TeamService> keys) {
        return keys.stream().anyMatch(k -> stateOf(k).share > 0);
    }

    /**
     * Adds tokens that another host has transferred. Tokens above the limit of the aggregator are discarded.
     *
     * @param key the team and service of the allowance
     * @param tokens the tokens
     */
    public synchronized void receive(TeamService key, double tokens) {
        if (tokens > 0 && Double.isFinite(tokens)) {
            AllowanceState s = stateOf(key);
            double max = allowances.apply(key).map(limits::maxAtAggregator).orElse(0.0);
            s.pool = Math.min(max, s.pool + tokens);
        }
    }

    /**
     * Takes a token for a request that cannot wait, if one is available.
     *
     * @param key the team and service of the allowance
     * @return the decision
     */
    public Decision take(TeamService key) {
        return take(key, Duration.ZERO, false);
    }

    /**
     * Takes a token for a request, if one is available that is not reserved, or reserves one.
     *
     * @param key the team and service of the allowance
     * @param maxWait how long the request can wait; a token is reserved only if one is expected within that time
     * @param waited whether the request comes back after a reservation, which this call ends
     * @return the decision
     */
    public synchronized Decision take(TeamService key, Duration maxWait, boolean waited) {
        Allowance allowance = allowances.apply(key).orElse(null);
        if (allowance == null) {
            return Decision.refused(MAX_RETRY_MILLIS);
        }
        AllowanceState s = stateOf(key);
        issue(key, s);
        s.pool = Math.min(limits.maxAtAggregator(allowance), s.pool);
        long now = clock.nanoTime();
        while (!s.reservations.isEmpty() && now - s.reservations.peek() >= 0) {
            s.reservations.poll();
        }
        if (waited) {
            s.reservations.poll();
        }
        double available = s.pool + s.issued;
        int before = waited ? 0 : s.reservations.size();
        if (available >= 1 + before) {
            s.issued -= Math.max(0, 1 - s.pool);
            s.pool = Math.max(0, s.pool - 1);
            return Decision.GRANTED;
        }
        if (allowance.rate() > 0) {
            double waitMillis = Math.max(MIN_WAIT_MILLIS, 1000 * (1 + before - available) / allowance.rate());
            if (waitMillis <= maxWait.toMillis()) {
                long wait = (long) Math.ceil(waitMillis);
                long end = now + Duration.ofMillis(wait).plus(RESERVATION_GRACE).toNanos();
                if (waited) {
                    s.reservations.addFirst(end);
                } else {
                    s.reservations.addLast(end);
                }
                return new Decision(false, wait, true);
            }
        }
        return Decision.refused(retryAfterMillis(s, allowance));
    }

    /**
     * Returns the allowances for which this daemon, if it is the aggregator, needs more tokens.
     *
     * @param keys the teams and services of the allowances to check
     * @return the teams and services of the allowances for which issuers should transfer tokens
     */
    public synchronized Set<TeamService> needingTokens(Set<TeamService> keys) {
        Set<TeamService> out = new HashSet<>();
        for (TeamService k : keys) {
            double max = allowances.apply(k).map(limits::maxAtAggregator).orElse(0.0);
            if (stateOf(k).pool < REFILL_SHARE * max) {
                out.add(k);
            }
        }
        return out;
    }

    /**
     * Removes the state of allowances that no plan has any more.
     *
     * @param keys the teams and services of the allowances that exist
     */
    public synchronized void retain(Set<TeamService> keys) {
        states.keySet().retainAll(keys);
    }

    // Callers that were refused lately retry as well, so each further refusal gets a later time.
    private long retryAfterMillis(AllowanceState s, Allowance allowance) {
        long now = clock.nanoTime();
        double seconds = (now - s.refusedAt) / NANOS_PER_SECOND;
        s.recentRefusals = Math.max(0, s.recentRefusals - allowance.rate() * seconds) + 1;
        s.refusedAt = now;
        double wait = allowance.rate() <= 0 ? MAX_RETRY_MILLIS : 1000 * s.recentRefusals / allowance.rate();
        return (long) Math.max(1, Math.min(MAX_RETRY_MILLIS, wait));
    }

    private AllowanceState stateOf(TeamService key) {
        return states.computeIfAbsent(key, k -> {
            AllowanceState s = new AllowanceState();
            s.issuedAt = clock.nanoTime();
            s.refusedAt = s.issuedAt;
            s.share = shares.applyAsDouble(k.team());
            return s;
        });
    }

    private void issue(TeamService key, AllowanceState s) {
        long now = clock.nanoTime();
        OptionalLong heldSince = leaseHeldSince.get();
        if (heldSince.isEmpty() || heldSince.getAsLong() - s.issuedAt > 0) {
            s.issued = 0;
            s.issuedAt = Math.min(now, heldSince.orElse(now));
        }
        Allowance allowance = allowances.apply(key).orElse(null);
        if (allowance != null && now > s.issuedAt) {
            double newTokens = s.share * allowance.rate() * (now - s.issuedAt) / NANOS_PER_SECOND;
            s.issued = Math.min(s.share * limits.maxAtIssuers(allowance), s.issued + newTokens);
        }
        s.issuedAt = now;
    }
}
