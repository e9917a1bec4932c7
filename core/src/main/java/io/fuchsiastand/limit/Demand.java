package io.fuchsiastand.limit;

/**
 * The tokens that an ingress daemon requests from the holder of a shard.
 *
 * @param key the team and the service
 * @param batch tokens to prefetch, in addition to the one for the waiting request
 * @param prefetchOnly whether no request waits, so that the daemon requests only the batch
 */
public record Demand(TeamService key, int batch, boolean prefetchOnly) {

    /**
     * Returns the demand of one request, without a batch.
     *
     * @param key the team and the service
     * @return a demand of one token
     */
    public static Demand one(TeamService key) {
        return new Demand(key, 0, false);
    }
}
