package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class BackendRateLimitTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final BackendRateLimit limit = new BackendRateLimit();

    @Test
    void allowsAllCallsWithoutALimit() {
        for (int i = 0; i < 1000; i++) {
            assertThat(limit.tryTake(0)).isTrue();
        }
        assertThat(limit.waitTime(0)).isEqualTo(Duration.ZERO);
    }

    @Test
    void allowsTheCallsOfOneSecondAtOnceAfterAPause() {
        limit.set(OptionalDouble.of(3), 0);
        assertThat(takeAll(10 * SECOND)).isEqualTo(3);
    }

    @Test
    void startsWithoutATokenAndStatesTheTimeUntilTheNext() {
        limit.set(OptionalDouble.of(4), 0);
        assertThat(limit.tryTake(0)).isFalse();
        Duration wait = limit.waitTime(0);
        assertThat(wait).isAtMost(Duration.ofMillis(251));
        assertThat(limit.tryTake(wait.toNanos() - MILLI)).isFalse();
        assertThat(limit.tryTake(wait.toNanos())).isTrue();
    }

    @Test
    void gainsNoTokensWhenTheLimitIsWithdrawnAndNamedAgain() {
        limit.set(OptionalDouble.of(5), 0);
        limit.set(OptionalDouble.empty(), SECOND);
        limit.set(OptionalDouble.of(5), 2 * SECOND);
        assertThat(takeAll(2 * SECOND)).isEqualTo(0);
    }

    @Test
    void allowsFewCallsAtALimitOfZeroSoThatItCanBeWithdrawn() {
        limit.set(OptionalDouble.of(0), 0);
        int calls = 0;
        for (long t = 0; t < 20 * SECOND; t += 100 * MILLI) {
            calls += takeAll(t);
        }
        assertThat(calls).isIn(List.of(3, 4));
    }

    @Test
    void returnsTheTokenOfACallThatWasNotSent() {
        limit.set(OptionalDouble.of(1), 0);
        assertThat(limit.tryTake(SECOND)).isTrue();
        limit.putBack();
        assertThat(takeAll(SECOND)).isEqualTo(1);
    }

    @Test
    void reducesTheCapacityByPowersOfTwo() {
        assertThat(limit.capacityShare(3, 300)).isEqualTo(1);
        limit.set(OptionalDouble.of(2.7), 0);
        assertThat(limit.capacityShare(3, 300)).isEqualTo(0.25);
        assertThat(limit.capacityShare(3, 0)).isEqualTo(1);
        limit.set(OptionalDouble.of(100), 0);
        assertThat(limit.capacityShare(3, 300)).isEqualTo(1);
        limit.set(OptionalDouble.of(0), 0);
        assertThat(limit.capacityShare(3, 300)).isEqualTo(0.0625);
    }

    @Test
    void countsTheCallsBeyondTheLimitInTheWindow() {
        limit.set(OptionalDouble.of(1), 0);
        for (int i = 0; i < 8; i++) {
            limit.recordCall(5 * SECOND);
        }
        assertThat(limit.excessCalls(5 * SECOND)).isEqualTo(3);
        assertThat(limit.excessCalls(10 * SECOND)).isEqualTo(0);
    }

    // Guards against more calls than the named limits allow while they are raised, lowered, withdrawn and named again
    // (LIMIT).
    @Test
    void neverAllowsMoreCallsInAWindowThanTheLimitsInForce() {
        for (int seed = 0; seed < 200; seed++) {
            playSchedule(seed);
        }
    }

    private static void playSchedule(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        BackendRateLimit limit = new BackendRateLimit();
        List<Long> calls = new ArrayList<>();
        long now = 0;
        double highest = 0;
        for (int i = 0; i < 2000; i++) {
            now += random.nextLong(20 * MILLI);
            if (random.nextInt(100) == 0) {
                double rate = random.nextDouble() * 10;
                highest = Math.max(highest, rate);
                limit.set(OptionalDouble.of(rate), now);
            }
            if (limit.rate().isPresent() && limit.tryTake(now)) {
                calls.add(now);
            }
        }
        double allowed = 1.5 * 4 * Math.max(BackendRateLimit.MIN_RATE, highest) + 5;
        for (long start : calls) {
            long count = calls.stream()
                    .filter(t -> t >= start && t - start < 4 * SECOND)
                    .count();
            assertWithMessage("seed %s", seed).that((double) count).isAtMost(allowed);
        }
    }

    private int takeAll(long now) {
        int out = 0;
        while (limit.tryTake(now)) {
            out++;
        }
        return out;
    }
}
