package io.fuchsiastand.limit;

import java.time.Duration;

import io.fuchsiastand.config.Allowance;

/**
 * Limits the number of unused tokens in the fleet. The fleet's rule on rate limits allows a team at most
 * {@code (rate x window + burst) x (1 + overshoot) + slack} requests in a window. Tokens are issued at the rate, so the
 * fleet may store at most that bound minus {@code rate x window} tokens at the start of a window.
 *
 * @param window the time over which requests are counted
 * @param overshoot the share by which a team may exceed its rate and burst in a window
 * @param slack requests by which a team may exceed them in addition
 */
public record UnusedTokenLimits(Duration window, double overshoot, double slack) {

    // Unused tokens are at the issuers, in transit to an aggregator, or at aggregators. There may be two aggregators
    // while daemons disagree about which one aggregates. The shares of all these places: 0.2 + 0.2 + 2 x 0.25 < 1.
    private static final double ISSUERS_SHARE = 0.2;
    private static final double AGGREGATOR_SHARE = 0.25;

    /**
     * Returns the limit on unused tokens in the whole fleet.
     *
     * @param a the rate and burst that the plan allows
     * @return tokens
     */
    public double maxInFleet(Allowance a) {
        return a.burst() * (1 + overshoot) + a.rate() * window.toNanos() / 1e9 * overshoot + slack;
    }

    /**
     * Returns the limit on tokens that all issuers together may store.
     *
     * @param a the rate and burst that the plan allows
     * @return tokens
     */
    public double maxAtIssuers(Allowance a) {
        return ISSUERS_SHARE * maxInFleet(a);
    }

    /**
     * Returns the limit on tokens that one aggregator may store.
     *
     * @param a the rate and burst that the plan allows
     * @return tokens
     */
    public double maxAtAggregator(Allowance a) {
        return AGGREGATOR_SHARE * maxInFleet(a);
    }
}
