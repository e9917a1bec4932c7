package io.fuchsiastand.health;

/**
 * A cumulative sum test (Page 1954) for a rise of the probability of an event. It alarms when the log likelihood ratio
 * of the raised against the normal probability, summed since its last minimum, passes a threshold. The mean number of
 * observations to a false alarm is at least the exponential of the threshold (Lorden 1971), which ties the threshold to
 * a tolerated rate of false alarms.
 */
final class Cusum {

    private static final double MOST = 0.95;

    private final double least;
    private final double factor;
    private double sum;

    /**
     * Creates a test.
     *
     * @param least the least probability to be detected
     * @param factor the least multiple of the normal probability to be detected
     */
    Cusum(double least, double factor) {
        this.least = least;
        this.factor = factor;
    }

    /**
     * Adds an observation.
     *
     * @param event whether the event happened
     * @param normal the probability of the event while all is well
     */
    void observe(boolean event, double normal) {
        double raised = Math.min(MOST, Math.max(least, factor * normal));
        if (normal >= raised / 2) {
            // The event is so common that it tells nothing.
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
