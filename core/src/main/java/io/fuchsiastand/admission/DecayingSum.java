package io.fuchsiastand.admission;

/** A sum of values whose weight falls exponentially with their age. Not thread-safe. */
final class DecayingSum {

    private final double decayNanos;
    private double value;
    private long updatedAt;

    DecayingSum(double decayNanos) {
        this.decayNanos = decayNanos;
    }

    void add(double amount, long now) {
        value = get(now) + amount;
        updatedAt = now;
    }

    double get(long now) {
        return value == 0 ? 0 : value * Math.exp(-Math.max(0, now - updatedAt) / decayNanos);
    }
}
