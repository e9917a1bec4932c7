package io.fuchsiastand.standin;

/**
 * How a stand-in backend server misbehaves towards real calls. Its health endpoint answers well all the same.
 *
 * @param delayMillis time a call takes
 * @param errorShare share of calls answered with 500, 0 to 1
 * @param hangShare share of calls never answered, 0 to 1
 * @param truncateShare share of calls whose answer ends early, 0 to 1
 * @param shedShare share of calls refused before any work, 0 to 1
 */
public record BackendFaults(
        long delayMillis, double errorShare, double hangShare, double truncateShare, double shedShare) {

    /** No fault. */
    public static final BackendFaults NONE = new BackendFaults(0, 0, 0, 0, 0);

    /**
     * Returns a backend server that takes a time for each call.
     *
     * @param millis the time
     * @return the behaviour
     */
    public static BackendFaults slow(long millis) {
        return new BackendFaults(millis, 0, 0, 0, 0);
    }
}
