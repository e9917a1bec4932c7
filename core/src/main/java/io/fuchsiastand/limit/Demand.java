package io.fuchsiastand.limit;

/**
 * What an ingress daemon wants of a holder.
 *
 * @param key the team and the service
 * @param batch tokens wanted beside the one for the waiting request
 * @param ahead whether no request waits, so that only the batch is wanted
 */
public record Demand(TeamService key, int batch, boolean ahead) {

    /**
     * Returns the demand of one request.
     *
     * @param key the team and the service
     * @return one token
     */
    public static Demand one(TeamService key) {
        return new Demand(key, 0, false);
    }
}
