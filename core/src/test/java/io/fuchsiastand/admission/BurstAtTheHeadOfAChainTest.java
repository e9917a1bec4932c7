package io.fuchsiastand.admission;

import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Requests for a first service make two calls each to a second one, which has room for a limited number. */
class BurstAtTheHeadOfAChainTest {

    private static final String ROUTE = "first/route";
    private static final String SECOND = "second";
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int CALLS_PER_REQUEST = 2;

    private final ManualClock clock = new ManualClock();
    private final SplittableRandom random = new SplittableRandom(7);
    private final CallGraph graph = new CallGraph(clock);
    private final RoomEstimates room = new RoomEstimates(clock);
    private final RoomMeter owner = new RoomMeter(clock);
    private final AdmissionControl control = new AdmissionControl(graph, room, clock, random::nextDouble);
    private final Map<String, Tally> tallies = new TreeMap<>();
    private boolean enabled = true;
    private int roomPerStep;

    private static final class Tally {
        private int asked;
        private int refused;
        private int wasted;

        private double refusedShare() {
            return (double) refused / asked;
        }
    }

    private void play(Duration time, Map<String, Integer> priorities, Map<String, Integer> requestsPerStep) {
        tallies.clear();
        priorities.keySet().forEach(t -> tallies.put(t, new Tally()));
        for (long t = 0; t < time.toMillis(); t += STEP.toMillis()) {
            clock.advance(STEP);
            roomPerStep = secondHasRoom;
            new TreeMap<>(requestsPerStep).forEach((team, n) -> {
                for (int i = 0; i < n; i++) {
                    ask(team, priorities.get(team));
                }
            });
        }
    }

    private int secondHasRoom = 10;

    private void ask(String team, int priority) {
        Tally tally = tallies.get(team);
        tally.asked++;
        if (enabled && control.check(ROUTE, team, priority).isPresent()) {
            tally.refused++;
            return;
        }
        CallGraph.Request running = graph.begin(ROUTE, clock.nanoTime() + random.nextLong(1_000_000_000L));
        boolean wasted = false;
        for (int i = 0; i < CALLS_PER_REQUEST; i++) {
            graph.recordCall(SECOND, Long.MAX_VALUE / 2);
            boolean foundRoom = roomPerStep-- > 0;
            owner.record(-1, foundRoom);
            room.hear(SECOND, "s1", owner.report());
            room.recordCall(SECOND, foundRoom);
            wasted |= !foundRoom;
        }
        graph.end(running);
        tally.wasted += wasted ? 1 : 0;
    }

    private void playTeam(Duration time, int requestsPerStep) {
        play(time, Map.of("a", 0), Map.of("a", requestsPerStep));
    }

    @Test
    void wastesFarLessWorkThanWithoutAdmission() {
        enabled = false;
        playTeam(Duration.ofSeconds(10), 10);
        int wastedWithout = tallies.get("a").wasted;
        enabled = true;
        playTeam(Duration.ofSeconds(10), 10);
        assertThat(tallies.get("a").wasted).isLessThan(wastedWithout * 3 / 4);
    }

    @Test
    void refusesNothingWhileTheCallsFindRoom() {
        playTeam(Duration.ofSeconds(20), 5);
        assertThat(tallies.get("a").refused).isEqualTo(0);
    }

    @Test
    void refusesTheLessUrgentFirst() {
        play(Duration.ofSeconds(20), Map.of("urgent", 0, "patient", 2), Map.of("urgent", 4, "patient", 4));
        assertThat(tallies.get("urgent").refusedShare()).isLessThan(0.1);
        assertThat(tallies.get("patient").refusedShare()).isGreaterThan(0.3);
    }

    @Test
    void refusesAHotTeamMoreThanOthers() {
        play(Duration.ofSeconds(20), Map.of("hot", 1, "b", 1, "c", 1), Map.of("hot", 8, "b", 1, "c", 1));
        assertThat(tallies.get("hot").refusedShare())
                .isGreaterThan(3 * tallies.get("b").refusedShare());
    }

    @Test
    void neverRefusesAllRequestsOfATeam() {
        secondHasRoom = 0;
        playTeam(Duration.ofSeconds(60), 10);
        assertThat(tallies.get("a").refusedShare()).isAtMost(AdmissionControl.MAX_REFUSED_SHARE + 0.02);
    }

    @Test
    void opensWithinSecondsAfterRoomReturns() {
        secondHasRoom = 0;
        playTeam(Duration.ofSeconds(10), 5);
        assertThat(tallies.get("a").refusedShare()).isGreaterThan(0.5);
        secondHasRoom = 100;
        playTeam(Duration.ofSeconds(5), 5);
        playTeam(Duration.ofSeconds(2), 5);
        assertThat(tallies.get("a").refused).isEqualTo(0);
    }

    @Test
    void givesWayToMoreUrgentRequestsThatTheSecondServiceRefuses() {
        playTeam(Duration.ofSeconds(5), 5);
        room.hear(SECOND, "s1", RoomReport.parse("0=0.60"));
        assertThat(refusedOf(1000, 2)).isGreaterThan(400);
        assertThat(refusedOf(1000, 0)).isEqualTo(0);
    }

    @Test
    void leavesCallsToRetriesThatFailAlthoughOwnersHaveRoom() {
        playTeam(Duration.ofSeconds(5), 5);
        for (int i = 0; i < 100; i++) {
            room.recordCall(SECOND, false);
        }
        assertThat(refusedOf(1000, 2)).isEqualTo(0);
    }

    @Test
    void admitsAllWhenOwnersAreSilentForSeconds() {
        playTeam(Duration.ofSeconds(5), 5);
        room.hear(SECOND, "s1", RoomReport.parse("0=0.60"));
        clock.advance(Duration.ofSeconds(7));
        assertThat(refusedOf(1000, 2)).isEqualTo(0);
    }

    @Test
    void admitsAllAfterARestart() {
        room.hear(SECOND, "s1", RoomReport.parse("-1=0.90"));
        room.recordCall(SECOND, false);
        assertThat(refusedOf(1000, 2)).isEqualTo(0);
    }

    private int refusedOf(int requests, int priority) {
        int refused = 0;
        for (int i = 0; i < requests; i++) {
            refused += control.check(ROUTE, "a", priority).isPresent() ? 1 : 0;
        }
        return refused;
    }
}
