package io.fuchsiastand.standin;

/**
 * The faults that a stand-in backend server shows in calls. Its health checks succeed in any case. Each call shows at most
 * one of the faults that have a share, so the sum of the four shares must not be more than 1.
 *
 * @param delayMillis the time between the receipt of a call and its response, in milliseconds; shed calls are not delayed
 * @param errorShare share of calls with status 500 as the response, 0 to 1
 * @param hangShare share of calls without a response, 0 to 1
 * @param truncateShare share of calls whose connection is closed after the whole text of the response body was sent, but
 *     before the end of the chunked response, 0 to 1
 * @param shedShare share of calls that are refused with status 503 and not executed, 0 to 1
 */
public record BackendFaults(
        long delayMillis, double errorShare, double hangShare, double truncateShare, double shedShare) {

    /** No faults. */
    public static final BackendFaults NONE = new BackendFaults(0, 0, 0, 0, 0);

    /**
     * Returns faults that only delay each call.
     *
     * @param millis the delay in milliseconds
     * @return the faults
     */
    public static BackendFaults slow(long millis) {
        return new BackendFaults(millis, 0, 0, 0, 0);
    }
}
