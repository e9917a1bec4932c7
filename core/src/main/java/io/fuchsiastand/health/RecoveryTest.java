package io.fuchsiastand.health;

/**
 * A sequential probability ratio test (Wald 1945) for the end of a fault. It compares the raised probability of an event,
 * which the test that raised the alarm assumes, with the normal one. Each call without the event is evidence for the end of
 * the fault. An event starts the test again, so that evidence from before it does not count.
 *
 * <p>Not thread-safe.
 */
final class RecoveryTest {

    // Maximum probability that the test ends while the fault persists.
    private static final double MAX_ERROR = 0.01;

    private final double raised;
    private double logRatio;

    /**
     * Creates a test.
     *
     * @param raised the probability of the event during the fault
     */
    RecoveryTest(double raised) {
        this.raised = raised;
    }

    /**
     * Adds an observation.
     *
     * @param event whether the event happened
     * @param normal the probability of the event without a fault
     */
    void observe(boolean event, double normal) {
        logRatio = event ? 0 : logRatio + Math.min(0, Math.log((1 - raised) / (1 - normal)));
    }

    /**
     * Returns whether the fault has ended.
     *
     * @return true if the observations since the last event are unlikely enough during the fault
     */
    boolean isRecovered() {
        return logRatio <= Math.log(MAX_ERROR);
    }
}
