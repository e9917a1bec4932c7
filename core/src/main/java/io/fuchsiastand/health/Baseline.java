package io.fuchsiastand.health;

/**
 * How the backend servers of a service do at large, as an ingress daemon sees them.
 *
 * @param failureShare the median share of calls that fail, 0 to 1
 * @param slowMillis service time that at most one call in 20 of the whole service exceeds; 0 if unknown
 */
public record Baseline(double failureShare, double slowMillis) {

    /** Nothing is known yet. */
    public static final Baseline UNKNOWN = new Baseline(0, 0);
}
