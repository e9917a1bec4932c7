package io.fuchsiastand.health;

/**
 * A cumulative sum test (Page 1954) for a rise of the probability of an event. It alarms when the log likelihood ratio
 * of the raised against the normal probability, summed since its last minimum, passes a threshold. The mean number of
 * observations to a false alarm is at least the exponential of the threshold (Lorden 1971), which ties the threshold to
 * a tolerated rate of false alarms.
 */
final class Cusum {

    private final double raised;
    private double sum;

    /**
     * Creates a test.
     *
     * @param raised the probability to be detected
     */
    Cusum(double raised) {
        this.raised = raised;
    }

    /**
     * Adds an observation.
     *
     * @param event whether the event happened
     * @param normal the probability of the event while all is well, below the raised one
     */
    void observe(boolean event, double normal) {
        double p = Math.min(normal, raised / 2);
        double ratio = event ? raised / p : (1 - raised) / (1 - p);
        sum = Math.max(0, sum + Math.log(ratio));
    }

    double sum() {
        return sum;
    }

    void reset() {
        sum = 0;
    }
}
