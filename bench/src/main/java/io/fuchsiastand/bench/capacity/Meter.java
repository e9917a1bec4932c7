package io.fuchsiastand.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Measures the heap that a structure keeps and the time that an operation takes. */
public final class Meter {

    private static final int COLLECTIONS = 4;
    private static final int ROUNDS = 7;
    private static Object kept;

    private Meter() {}

    /**
     * Measures the heap that an object keeps.
     *
     * @param maker makes the object
     * @return bytes
     */
    public static double heapBytes(Supplier<Object> maker) {
        maker.get();
        kept = null;
        long before = used();
        kept = maker.get();
        long after = used();
        kept.hashCode();
        kept = null;
        return after - before;
    }

    /**
     * Measures the time of an operation, as the median over several rounds after a warm-up.
     *
     * @param count operations in a round
     * @param operation the operation, given its number
     * @return nanoseconds for one operation
     */
    public static double nanos(int count, IntConsumer operation) {
        List<Double> rounds = new ArrayList<>();
        for (int r = 0; r < ROUNDS; r++) {
            long began = System.nanoTime();
            for (int i = 0; i < count; i++) {
                operation.accept(i);
            }
            rounds.add((System.nanoTime() - began) / (double) count);
        }
        rounds.sort(null);
        return rounds.get(ROUNDS / 2);
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
