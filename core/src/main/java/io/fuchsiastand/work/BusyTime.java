package io.fuchsiastand.work;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Join the shortest queue by work, with reports that are old: how long an ingress daemon expects the slots of one backend server
 * to be busy. The time starts from the latest report of the owner, and the daemon's own calls since are added. As the
 * report ages, the time returns to the usual one of the service, because the calls that the report counts end and others
 * begin that are unknown here. A backend server
 * that has just been found counts as idle, as it is if it has just started.
 *
 * <p>Thread-safe and without locks.
 */
public final class BusyTime {

    // Estimates from few calls differ by up to this factor between backend servers of the same speed.
    private static final double INSIGNIFICANT_RATIO = 1.5;
    private static final double MIN_SLOWNESS = 0.5;
    private static final double MAX_SLOWNESS = 4;
    private static final double SMOOTHING = 0.5;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TIME_MASK = 0xFFFF_FFFFL;

    private final ServiceWork service;
    // The busy time in milliseconds as the bits of a float, and below it the low 32 bits of the time in milliseconds.
    private final AtomicLong state;
    private volatile double slowness = 1;

    /**
     * Creates the state of a backend server that has reported nothing.
     *
     * @param service what is known of all backend servers of its service
     * @param now monotonic time in nanoseconds
     */
    public BusyTime(ServiceWork service, long now) {
        this.service = service;
        state = new AtomicLong(pack(0, now));
    }

    /**
     * Records a call that this daemon sends.
     *
     * @param costMillis its usual cost in milliseconds of slot time, or 0 if it is unknown
     * @param slots the slots of the backend server
     * @param now monotonic time in nanoseconds
     */
    public void add(double costMillis, int slots, long now) {
        long before;
        long after;
        do {
            before = state.get();
            after = pack(millis(before, now) + costMillis * slowness / slots, now);
        } while (!state.compareAndSet(before, after));
    }

    /**
     * Records a report of the owner.
     *
     * @param busyMillis the time in milliseconds, as {@link WaterFilling} defines it; ignored if it is negative or not finite
     * @param now monotonic time in nanoseconds
     */
    public void report(double busyMillis, long now) {
        if (busyMillis >= 0 && busyMillis < Float.MAX_VALUE) {
            service.recordBusyTime(busyMillis);
            state.set(pack(busyMillis, now));
        }
    }

    /**
     * Records the cost of a kind of call at this backend server, which shows its speed.
     *
     * @param costMillis the cost at this backend server, in milliseconds of slot time, or 0 if it is unknown
     * @param usualMillis the usual cost at the backend servers of the service, in milliseconds of slot time, or 0 if it is unknown
     */
    public void recordCost(double costMillis, double usualMillis) {
        if (costMillis > 0 && usualMillis > 0) {
            double x = significant(costMillis / usualMillis);
            slowness += SMOOTHING * (Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, x)) - slowness);
        }
    }

    private static double significant(double ratio) {
        return ratio > 1 ? Math.max(1, ratio / INSIGNIFICANT_RATIO) : Math.min(1, ratio * INSIGNIFICANT_RATIO);
    }

    /**
     * Returns the time after which a call is expected to end if it is sent now.
     *
     * @param costMillis the usual cost of the call in milliseconds of slot time
     * @param weight the share of the capacity of the backend server that may be used, above 0
     * @param now monotonic time in nanoseconds
     * @return milliseconds
     */
    public double expectedFinishMillis(double costMillis, double weight, long now) {
        return millis(state.get(), now) / weight + costMillis * slowness;
    }

    private double millis(long packed, long now) {
        double usual = service.usualBusyMillis();
        double latest = Float.intBitsToFloat((int) (packed >>> Integer.SIZE));
        double age = Math.max(0, timeOf(now) - (int) packed);
        return usual + (latest - usual) * Math.exp(-age / (latest + Math.max(1, service.meanMillis())));
    }

    private static long pack(double millis, long now) {
        return (long) Float.floatToIntBits((float) millis) << Integer.SIZE | timeOf(now) & TIME_MASK;
    }

    private static int timeOf(long now) {
        return (int) (now / NANOS_PER_MILLI);
    }
}
