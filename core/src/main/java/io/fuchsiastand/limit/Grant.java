package io.fuchsiastand.limit;

import io.fuchsiastand.protocol.AcquireResult;

/**
 * The decision of the holder of a shard, or of a token aggregator, about a request for tokens.
 *
 * @param result the decision
 * @param batch tokens granted in addition to the one for the request
 * @param validMillis time for which the ingress daemon may spend the batch, counted from when it sent the request
 * @param retryAfterMillis time until a token is expected to be available
 * @param remaining whole tokens left at the holder
 */
public record Grant(AcquireResult result, int batch, int validMillis, long retryAfterMillis, int remaining) {

    /** One token is granted, without a batch. */
    public static final Grant ONE_TOKEN = new Grant(AcquireResult.GRANTED, 0, 0, 0, 0);
    /**
     * The daemon that was asked may use no half of the shard now, or its configuration has no allowance of the team for
     * the service; or no daemon granted or refused the request.
     */
    public static final Grant NO_RIGHT = new Grant(AcquireResult.NO_RIGHT, 0, 0, 0, 0);
    /** The daemon that was asked keeps no leases on the shard, is unknown, could not be reached or did not answer. */
    public static final Grant NOT_HOLDER = new Grant(AcquireResult.NOT_HOLDER, 0, 0, 0, 0);

    /**
     * Returns whether the request may run.
     *
     * @return true if a token was taken for the request
     */
    public boolean isGranted() {
        return result == AcquireResult.GRANTED;
    }
}
