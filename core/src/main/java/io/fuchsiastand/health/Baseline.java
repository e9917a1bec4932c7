package io.fuchsiastand.health;

/**
 * Typical failures and service times of the backend servers of one service, computed by an ingress daemon from the
 * summaries that the daemons of their hosts send.
 *
 * @param failureShare the median over the backend servers of the share of calls that fail, 0 to 1
 * @param slowMillis service time in milliseconds above which a call counts as slow; for at least about half of the
 *     backend servers, at most about one call in 20 exceeds it; 0 if unknown
 */
public record Baseline(double failureShare, double slowMillis) {

    /** The baseline before enough backend servers have been observed. */
    public static final Baseline UNKNOWN = new Baseline(0, 0);
}
