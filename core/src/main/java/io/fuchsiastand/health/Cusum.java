package io.fuchsiastand.health;

/**
 * A cumulative sum test (Page 1954) for a rise of the probability of an event. It sums the log likelihood ratios of the
 * raised against the normal probability and keeps the sum at zero or above. {@link OutlierDetector} raises an alarm
 * when the sum reaches its threshold. The mean number of observations to a false alarm is at least the exponential of
 * the threshold (Lorden 1971), so the threshold follows from a tolerated rate of false alarms.
 */
final class Cusum {

    private static final double MAX_RAISED_PROBABILITY = 0.95;

    private final double minProbability;
    private final double minFactor;
    private double sum;

    /**
     * Creates a test.
     *
     * @param minProbability the lowest value that the test assumes for the raised probability of the event
     * @param minFactor the lowest ratio of the raised to the normal probability that the test assumes
     */
    Cusum(double minProbability, double minFactor) {
        this.minProbability = minProbability;
        this.minFactor = minFactor;
    }

    /**
     * Adds an observation.
     *
     * @param event whether the event happened
     * @param normal the probability of the event without a fault
     */
    void observe(boolean event, double normal) {
        double raised = Math.min(MAX_RAISED_PROBABILITY, Math.max(minProbability, minFactor * normal));
        if (normal >= raised / 2) {
            // The event is normally so frequent that it is no evidence of a fault, so the sum is set to zero.
            sum = 0;
            return;
        }
        double ratio = event ? raised / normal : (1 - raised) / (1 - normal);
        sum = Math.max(0, sum + Math.log(ratio));
    }

    double sum() {
        return sum;
    }

    void reset() {
        sum = 0;
    }
}
