package io.fuchsiastand.limit;

/**
 * The halves of a shard that a daemon may use at one moment. Each of the two halves is half of the rate and half of the
 * burst of every team in the shard. At any moment, each half is used by at most one daemon.
 *
 * @param own whether the daemon may use its own half
 * @param other whether it may use the half of its partner, which lends it or whose lease has ended
 * @param ownSince monotonic time since which the own half has been usable without a gap, in nanoseconds
 * @param otherSince the same time for the half of its partner
 */
public record UsableHalves(boolean own, boolean other, long ownSince, long otherSince) {

    /** No half may be used. */
    public static final UsableHalves NONE = new UsableHalves(false, false, 0, 0);

    /**
     * Returns the number of halves that may be used.
     *
     * @return 0 to 2
     */
    public int count() {
        return (own ? 1 : 0) + (other ? 1 : 0);
    }
}
