package io.fuchsiastand.work;

/**
 * A histogram with two buckets per power of two that forgets old values: when it is full, all counts are halved. Not
 * thread-safe.
 */
final class DecayingHistogram {

    private static final int MAX_COUNT = 256;
    private static final int BUCKETS_PER_OCTAVE = 2;
    private static final int MIN_EXPONENT = -6;
    private static final int BUCKETS = 24;

    private final float[] counts = new float[BUCKETS];
    private final float[] sums = new float[BUCKETS];
    private double total;

    void add(double value) {
        int i = bucketOf(value);
        counts[i]++;
        sums[i] += (float) value;
        total++;
        if (total > MAX_COUNT) {
            for (int j = 0; j < BUCKETS; j++) {
                counts[j] /= 2;
                sums[j] /= 2;
            }
            total /= 2;
        }
    }

    double count() {
        return total;
    }

    /**
     * Returns the mean of what the values above a lower limit exceed it by.
     *
     * @param limit the lower limit
     * @return the mean excess; the limit itself if the histogram holds less than one value above it, as for a distribution
     *     whose tail follows a power law
     */
    double meanExcess(double limit) {
        int first = bucketOf(limit);
        double count = 0;
        double sum = 0;
        for (int i = first + 1; i < BUCKETS; i++) {
            count += counts[i];
            sum += sums[i];
        }
        if (counts[first] > 0) {
            // The values of the bucket are taken as equal to their mean.
            double mean = sums[first] / counts[first];
            if (mean > limit) {
                count += counts[first];
                sum += sums[first];
            }
        }
        return count < 1 ? limit : Math.max(0, sum / count - limit);
    }

    private static int bucketOf(double value) {
        if (value <= 0) {
            return 0;
        }
        double octave = Math.log(value) / Math.log(2) - MIN_EXPONENT;
        return (int) Math.max(0, Math.min(BUCKETS - 1, Math.floor(octave * BUCKETS_PER_OCTAVE)));
    }
}
