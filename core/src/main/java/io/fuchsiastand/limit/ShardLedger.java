package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.protocol.AcquireResult;

/**
 * The token buckets of one shard at the daemon that grants requests. Each team and service has two buckets, one for
 * each half of the shard. When the daemon becomes able to use a half, the buckets of that half start empty, because
 * another daemon may have spent their tokens. Buckets are created at the first request of a team for a service. Above a
 * maximum number, the least recently used ones are removed, because after a long time without use they would be full.
 * A bucket that is created again starts empty at the time at which the daemon became able to use its half, and refills
 * from then on.
 *
 * <p>Not thread-safe.
 */
public final class ShardLedger {

    /** Time for which the tokens of a batch may be spent. */
    public static final Duration BATCH_TERM = Duration.ofMillis(100);

    private static final int MAX_ENTRIES = 20_000;
    private static final double MAX_BATCH_FRACTION_OF_BURST = 0.125;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;
    // A request must not be refused because rounding made a sum of fractions of a token less than one.
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Map<TeamService, TeamBuckets> buckets = new LinkedHashMap<>(16, 0.75f, true);

    /** The buckets of one team and service, and the batches whose tokens may still be spent. */
    private static final class TeamBuckets {
        private final TokenBucket own;
        private final TokenBucket other;
        private final Deque<Batch> batches = new ArrayDeque<>();
        private double outstanding;
        private long ownSince;
        private long otherSince;

        private TeamBuckets(Allowance a, UsableHalves halves) {
            own = new TokenBucket(a.rate() / 2, a.burst() / 2, halves.ownSince());
            other = new TokenBucket(a.rate() / 2, a.burst() / 2, halves.otherSince());
            ownSince = halves.ownSince();
            otherSince = halves.otherSince();
        }
    }

    private record Batch(long expiry, int tokens) {}

    /**
     * Takes one token for the request, unless the demand is only a prefetch, and up to the requested batch from the
     * remaining tokens, at most one eighth of the burst.
     *
     * @param demand the team and the service, and what is wanted
     * @param allowance what the team's plan allows
     * @param halves the halves that this daemon may use now
     * @param now monotonic time in nanoseconds
     * @return the decision, with the time until a retry if it is a refusal; the time is 0 if this daemon may use no
     *     half
     */
    public Grant acquire(Demand demand, Allowance allowance, UsableHalves halves, long now) {
        if (halves.count() == 0) {
            return Grant.NO_RIGHT;
        }
        TeamBuckets e = buckets.computeIfAbsent(demand.key(), k -> new TeamBuckets(allowance, halves));
        if (buckets.size() > MAX_ENTRIES) {
            buckets.remove(buckets.keySet().iterator().next());
        }
        update(e, allowance, halves, now);
        double own = halves.own() ? e.own.level(now, e.outstanding / 2) : 0;
        double other = halves.other() ? e.other.level(now, e.outstanding / 2) : 0;
        double level = own + other + ROUNDING_TOLERANCE;
        if (level < 1) {
            return refuse(allowance, halves, level);
        }
        int immediate = demand.prefetchOnly() ? 0 : 1;
        int batch = (int)
                Math.min(demand.batch(), Math.min(level - immediate, allowance.burst() * MAX_BATCH_FRACTION_OF_BURST));
        take(e, immediate + batch, other);
        if (batch > 0) {
            e.batches.add(new Batch(now + LeaseTerms.withClockDriftNanos(BATCH_TERM), batch));
            e.outstanding += batch;
        }
        return new Grant(
                AcquireResult.GRANTED, batch, (int) BATCH_TERM.toMillis(), 0, (int) (level - immediate - batch));
    }

    /**
     * Returns the number of teams and services with buckets.
     *
     * @return the number
     */
    public int size() {
        return buckets.size();
    }

    private static Grant refuse(Allowance a, UsableHalves halves, double level) {
        double rate = a.rate() * halves.count() / 2;
        // The usable halves may have a burst of less than one token, so that no wait leads to a whole token.
        double capacity = a.burst() * halves.count() / 2;
        if (rate <= 0 || capacity < 1) {
            long wait = Duration.ofSeconds(1).toMillis();
            return new Grant(rate <= 0 ? AcquireResult.OVER_RATE : AcquireResult.NO_RIGHT, 0, 0, wait, 0);
        }
        long millis = (long) Math.ceil((1 - level) / rate * NANOS_PER_SECOND / NANOS_PER_MILLI);
        return new Grant(AcquireResult.OVER_RATE, 0, 0, Math.max(1, millis), 0);
    }

    private static void update(TeamBuckets e, Allowance a, UsableHalves halves, long now) {
        if (halves.own() && e.ownSince != halves.ownSince()) {
            e.own.reset(halves.ownSince());
            e.ownSince = halves.ownSince();
        }
        if (halves.other() && e.otherSince != halves.otherSince()) {
            e.other.reset(halves.otherSince());
            e.otherSince = halves.otherSince();
        }
        e.own.configure(a.rate() / 2, a.burst() / 2, now);
        e.other.configure(a.rate() / 2, a.burst() / 2, now);
        while (!e.batches.isEmpty() && now >= e.batches.peek().expiry()) {
            e.outstanding -= e.batches.poll().tokens();
        }
    }

    private static void take(TeamBuckets e, double amount, double otherLevel) {
        double fromOther = Math.min(amount, otherLevel);
        e.other.take(fromOther);
        e.own.take(amount - fromOther);
    }
}
