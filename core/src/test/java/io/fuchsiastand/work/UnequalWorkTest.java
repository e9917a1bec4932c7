package io.fuchsiastand.work;

import java.time.Duration;
import java.util.ArrayList;
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
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.routing.Candidate;
import io.fuchsiastand.routing.HostRecord;
import io.fuchsiastand.routing.ServiceDirectory;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** The load: unequal work behind equal counts. Two kinds of calls cost 1 to 5, and 3 in 100 take 7 times as long. */
class UnequalWorkTest {

    private static final int SCHEDULES = 12;
    private static final int CALLS = 6_000;
    private static final int SERVERS = 12;
    private static final int SLOTS = 8;
    private static final double LOAD = 0.85;
    private static final double MEAN_MILLIS = 600;
    private static final String SERVICE = "menu";

    private static final WorkKind SMALL = new WorkKind(SERVICE, "a", 0);
    private static final WorkKind LARGE = new WorkKind(SERVICE, "b", 0);

    private enum Load {
        UNEQUAL_WORK,
        EQUAL_WORK,
        SLOW_SERVER,
        FAILING_SERVER
    }

    private record Event(long at, Runnable action) {}

    private record Call(WorkKind kind, double millis, long since) {}

    /** Sends the calls of one random schedule from several ingress daemons to backend servers. */
    private static final class Schedule {
        private final ManualClock clock = new ManualClock();
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
        private final List<Double> times = new ArrayList<>();
        private final int[] callsByServer = new int[SERVERS];
        private final List<Server> servers =
                IntStream.range(0, SERVERS).mapToObj(i -> new Server()).toList();
        private final Load load;
        private final boolean byWork;
        private final Random random;

        Schedule(Load load, boolean byWork, int seed) {
            this.load = load;
            this.byWork = byWork;
            random = new Random(seed);
        }

        private final class Server {
            private final FairQueue queue = new FairQueue(SLOTS, Integer.MAX_VALUE, clock);
            private final WorkEstimates estimates = new WorkEstimates();
            private final List<Call> waiting = new ArrayList<>();
            private final List<Call> running = new ArrayList<>();

            private void run(Call call, double millis, Runnable answer) {
                waiting.add(call);
                queue.submit("team", Long.MAX_VALUE, p -> start(call, millis, p, answer), code -> {});
            }

            private void start(Call call, double millis, FairQueue.Permit permit, Runnable answer) {
                waiting.remove(call);
                Call started = new Call(call.kind(), millis, clock.nanoTime());
                running.add(started);
                events.add(new Event(clock.nanoTime() + (long) (millis * 1e6), () -> {
                    running.remove(started);
                    permit.release();
                    estimates.learn(call.kind(), millis);
                    answer.run();
                }));
            }

            private double busyMillis() {
                double[] remaining = running.stream()
                        .mapToDouble(c -> estimates.remainingMillis(c.kind(), (clock.nanoTime() - c.since()) / 1e6))
                        .toArray();
                double work = waiting.stream()
                        .mapToDouble(c -> estimates.expectedMillis(c.kind()))
                        .sum();
                return WaterFilling.busyTime(remaining, SLOTS, work + estimates.meanMillis());
            }
        }

        private double costMillis(WorkKind kind) {
            if (load == Load.EQUAL_WORK) {
                return MEAN_MILLIS;
            }
            double tail = random.nextInt(100) < 3 ? 7 : 1;
            return MEAN_MILLIS / (0.97 + 0.03 * 7) / 3 * (kind.equals(SMALL) ? 1 : 5) * tail;
        }

        Schedule play(int ingressDaemons) {
            List<ServiceDirectory> ingress = IntStream.range(0, ingressDaemons)
                    .mapToObj(i -> newDirectory())
                    .toList();
            double gapMillis = MEAN_MILLIS / (LOAD * SERVERS * SLOTS);
            long at = clock.nanoTime();
            for (int i = 0; i < CALLS; i++) {
                at += (long) (-Math.log(1 - random.nextDouble()) * gapMillis * 1e6);
                WorkKind kind = random.nextBoolean() ? SMALL : LARGE;
                Call call = new Call(kind, costMillis(kind), at);
                ServiceDirectory d = ingress.get(random.nextInt(ingressDaemons));
                events.add(new Event(at, () -> send(d, call)));
            }
            while (!events.isEmpty()) {
                Event e = events.poll();
                clock.advanceTo(e.at());
                e.action().run();
            }
            return this;
        }

        private void send(ServiceDirectory d, Call call) {
            ServiceWork work = d.work(SERVICE);
            double usual = byWork ? work.usualMillis(call.kind()) : 0;
            Candidate c = d.pick(SERVICE, Set.of(), 0, usual, random).orElseThrow();
            long sentAt = clock.nanoTime();
            c.begin(usual, sentAt);
            int i = Integer.parseInt(c.server().id());
            callsByServer[i]++;
            Server s = servers.get(i);
            if (i == 0 && load == Load.FAILING_SERVER) {
                c.recordWork(s.busyMillis(), 0, usual, sentAt);
                c.recordFailure(sentAt);
                c.endFailed(clock, s.queue.load());
                send(d, call);
                return;
            }
            s.run(call, call.millis() * (i == 0 && load == Load.SLOW_SERVER ? 3 : 1), () -> {
                double cost = s.estimates.expectedMillis(call.kind());
                work.recordCost(call.kind(), cost);
                c.recordWork(s.busyMillis(), cost, work.usualMillis(call.kind()), clock.nanoTime());
                c.recordAnswer(clock, Duration.ofNanos(clock.nanoTime() - sentAt), s.queue.load());
                times.add((clock.nanoTime() - call.since()) / 1e6);
            });
        }

        private ServiceDirectory newDirectory() {
            ServiceDirectory d =
                    new ServiceDirectory("dc0", clock, UnequalWorkTest::member, service -> Optional.empty());
            d.update(new HostRecord(
                    "h0",
                    IntStream.range(0, SERVERS)
                            .mapToObj(i -> new BackendServer(
                                    Integer.toString(i), SERVICE, SLOTS, BackendState.SERVING, 1, 0, 1))
                            .toList()));
            return d;
        }

        double p95Millis() {
            return times.stream()
                    .sorted()
                    .skip((long) (0.95 * times.size()))
                    .findFirst()
                    .orElseThrow();
        }

        double shareOfFirstServer() {
            return callsByServer[0] / (double) CALLS;
        }
    }

    private static Optional<Member> member(String host) {
        return Optional.of(new Member(host, "10.0.0.1", 8081, 8082, "dc0", 1, MemberState.ALIVE, 0));
    }

    private static double mean(Load load, boolean byWork, int ingressDaemons, ToDoubleFunction<Schedule> result) {
        return IntStream.range(0, SCHEDULES)
                .mapToDouble(seed -> result.applyAsDouble(new Schedule(load, byWork, seed).play(ingressDaemons)))
                .average()
                .orElseThrow();
    }

    // The more ingress daemons there are, the older is what each of them knows.
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 16, 64})
    void callsEndSoonerIfBackendServersAreChosenByWork(int ingressDaemons) {
        for (Load load : List.of(Load.UNEQUAL_WORK, Load.SLOW_SERVER)) {
            assertWithMessage(load.toString())
                    .that(mean(load, true, ingressDaemons, Schedule::p95Millis))
                    .isLessThan(mean(load, false, ingressDaemons, Schedule::p95Millis));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 16, 64})
    void callsOfEqualWorkEndNoLaterThanIfBackendServersAreChosenByCount(int ingressDaemons) {
        assertThat(mean(Load.EQUAL_WORK, true, ingressDaemons, Schedule::p95Millis))
                .isAtMost(mean(Load.EQUAL_WORK, false, ingressDaemons, Schedule::p95Millis));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 16, 64})
    void aBackendServerThatFailsAtOnceGetsNoMoreCallsThanOthers(int ingressDaemons) {
        assertThat(mean(Load.FAILING_SERVER, true, ingressDaemons, Schedule::shareOfFirstServer))
                .isAtMost(1.0 / SERVERS);
    }
}
