package io.fuchsiastand.work;

import java.util.Arrays;

/**
 * Water filling: how long the slots of a backend server are busy. Each slot takes a part of the waiting work as soon as its
 * running call ends, such that these slots end at the same time. A long call takes away one slot, but the others need not
 * wait for it: the sum of all work would say so.
 */
public final class WaterFilling {

    private WaterFilling() {}

    /**
     * Returns the time after which waiting work is done.
     *
     * @param remaining the remaining times of the running calls
     * @param slots the number of slots
     * @param waiting the waiting work in slot time, in the same unit
     * @return the time in the same unit
     */
    public static double busyTime(double[] remaining, int slots, double waiting) {
        double[] sorted = remaining.clone();
        Arrays.sort(sorted);
        int used = Math.max(0, slots - sorted.length);
        double sum = waiting;
        for (double r : sorted) {
            if (used > 0 && sum / used <= r) {
                break;
            }
            used++;
            sum += r;
        }
        return used == 0 ? 0 : sum / used;
    }
}
