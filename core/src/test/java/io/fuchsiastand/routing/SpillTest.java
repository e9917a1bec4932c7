package io.fuchsiastand.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.queue.FairQueue;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** The load: demand that swings with another phase in each data centre, over 4, 2 and 1 backend servers with 7 slots. */
class SpillTest {

    private static final int[] SERVERS = {4, 2, 1};
    private static final int SLOTS = 7;
    private static final double CALL_MILLIS = 300;
    private static final double MAX_WAIT_MILLIS = 600;
    private static final int WAVES = 3;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private static final long START = new ManualClock().nanoTime();

    private record Event(long at, Runnable action) {}

    /** Minutes of the wave, with four ingress daemons in each data centre. */
    private static final class Schedule {
        private final ManualClock clock = new ManualClock();
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
        private final Random random;
        private final boolean isSpillShared;
        private final List<FairQueue> queues = IntStream.range(
                        0, IntStream.of(SERVERS).sum())
                .mapToObj(i -> new FairQueue(SLOTS, Integer.MAX_VALUE, clock))
                .toList();
        private double calls;
        private double inTime;
        private double crossing;
        private double begins;

        Schedule(boolean isSpillShared, double load, int seed) {
            this.isSpillShared = isSpillShared;
            random = new Random(seed);
            for (int i = 0; i < 4 * SERVERS.length; i++) {
                int dc = i % SERVERS.length;
                arrive(directory(dc, clock, isSpillShared), dc, load * SERVERS[dc] * SLOTS / CALL_MILLIS / 4, 0);
            }
            while (!events.isEmpty()) {
                Event e = events.poll();
                clock.advanceTo(e.at());
                e.action().run();
            }
        }

        // A Poisson process, thinned from the highest rate of the wave.
        private void arrive(ServiceDirectory d, int dc, double perMilli, long last) {
            long at = last + (long) (-Math.log(1 - random.nextDouble()) / (perMilli * 1.55) * 1e6);
            if (at > 60 * SECOND) {
                return;
            }
            events.add(new Event(START + at, () -> {
                double phase = 2 * Math.PI * (at / (60.0 * SECOND) * WAVES + dc / 3.0);
                if (random.nextDouble() * 1.55 < 1 + 0.55 * Math.sin(phase)) {
                    call(d, dc);
                }
                arrive(d, dc, perMilli, at);
            }));
        }

        private void call(ServiceDirectory d, int dc) {
            boolean spills = d.shareKept("menu").isPresent();
            Candidate c = d.pick("menu", Set.of(), random).orElseThrow();
            c.begin();
            begins += !spills && d.shareKept("menu").isPresent() ? 1 : 0;
            calls++;
            crossing += c.host().equals("h" + dc) ? 0 : 1;
            FairQueue q = queues.get(Integer.parseInt(c.server().id()));
            long sentAt = clock.nanoTime();
            q.submit(
                    "team",
                    Long.MAX_VALUE,
                    p -> {
                        inTime += clock.nanoTime() - sentAt < MAX_WAIT_MILLIS * 1e6 ? 1 : 0;
                        long nanos = (long) (-Math.log(1 - random.nextDouble()) * CALL_MILLIS * 1e6);
                        events.add(new Event(clock.nanoTime() + nanos, () -> {
                            p.release();
                            c.recordAnswer(clock, Duration.ofNanos(clock.nanoTime() - sentAt), q.load());
                        }));
                    },
                    code -> {});
        }
    }

    private final ManualClock clock = new ManualClock();
    private final ServiceDirectory directory = directory(2, clock, true);

    @Test
    void fewerCallsCrossInAWaveThanByAThresholdAnd99In100AreServedInTime() {
        assertThat(mean(true, 0.7, s -> s.inTime / s.calls)).isAtLeast(0.99);
        for (double load : new double[] {0.6, 0.7, 0.9}) {
            assertThat(mean(true, load, s -> s.crossing / s.calls))
                    .isLessThan(mean(false, load, s -> s.crossing / s.calls));
        }
    }

    @Test
    void aWaveBeginsASpillOnceOrTwiceAtADaemon() {
        assertThat(mean(true, 0.7, s -> s.begins)).isAtMost(4 * SERVERS.length * WAVES * 2);
    }

    @Test
    void keepsWhatFitsAndSendsTheExcessToTheDataCentresByTheirFreeRoom() {
        report(Duration.ZERO, 12, 0, 0, 0, 0, 8, 11);
        assertThat(directory.shareKept("menu").orElseThrow()).isWithin(0.15).of(0.5);
        int[] calls = pick(4_000);
        assertThat(calls[0]).isGreaterThan(2 * calls[1]);
        assertThat(calls[1]).isGreaterThan(0);
        assertThat(calls[2]).isGreaterThan(0);
    }

    @Test
    void sendsNothingToADataCentreWhosePathsFailed() {
        report(Duration.ZERO, 0, 0, 0, 0, 0, 0, 14);
        for (Candidate c : directory.candidates("menu")) {
            if (c.host().equals("h0")) {
                c.begin();
                c.endConnectionFailed(clock);
            }
        }
        int[] calls = pick(1_000);
        assertThat(calls[0]).isEqualTo(0);
        assertThat(calls[1]).isGreaterThan(0);
    }

    @Test
    void aDataCentreThatHasNotReportedForSecondsIsTriedAgain() {
        report(Duration.ofSeconds(20), 50, 50, 50, 50, 1, 1, 0);
        report(Duration.ofSeconds(1), -1, -1, -1, -1, 10, 10, 14);
        assertThat(pick(1_000)[0]).isGreaterThan(0);
    }

    private static double mean(boolean isSpillShared, double load, ToDoubleFunction<Schedule> result) {
        return IntStream.range(0, 8)
                .mapToDouble(seed -> result.applyAsDouble(new Schedule(isSpillShared, load, seed)))
                .average()
                .orElseThrow();
    }

    // Lets each backend server report a load, and time pass.
    private void report(Duration after, int... loads) {
        for (Candidate c : directory.candidates("menu")) {
            c.begin();
            c.recordAnswer(
                    clock, Duration.ZERO, loads[Integer.parseInt(c.server().id())]);
        }
        clock.advance(after);
        pick(1);
    }

    private int[] pick(int calls) {
        int[] callsByDataCentre = new int[SERVERS.length];
        Random random = new Random(1);
        for (int i = 0; i < calls; i++) {
            Candidate c = directory.pick("menu", Set.of(), random).orElseThrow();
            callsByDataCentre[Integer.parseInt(c.host().substring(1))]++;
        }
        return callsByDataCentre;
    }

    private static ServiceDirectory directory(int dc, Clock clock, boolean isSpillShared) {
        ServiceDirectory d =
                new ServiceDirectory("dc" + dc, clock, SpillTest::member, service -> Optional.empty(), isSpillShared);
        int id = 0;
        for (int i = 0; i < SERVERS.length; i++) {
            int first = id;
            id += SERVERS[i];
            d.update(new HostRecord(
                    "h" + i,
                    IntStream.range(first, id).mapToObj(SpillTest::server).toList()));
        }
        return d;
    }

    private static BackendServer server(int id) {
        return new BackendServer(Integer.toString(id), "menu", SLOTS, BackendState.SERVING, 1, 0, 1);
    }

    private static Optional<Member> member(String host) {
        return Optional.of(new Member(host, "10.0.0.1", 8081, 8082, "dc" + host.substring(1), 1, MemberState.ALIVE, 0));
    }
}
