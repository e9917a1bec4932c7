package io.fuchsiastand.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FairQueueTest {

    private static final long NO_DEADLINE = Long.MAX_VALUE;

    private final ManualClock clock = new ManualClock();
    private final List<FairQueue.Permit> running = new ArrayList<>();
    private final List<String> started = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();

    @Test
    void neverRunsMoreCallsThanItHasSlots() {
        FairQueue q = new FairQueue(2, 10, clock);
        for (int i = 0; i < 5; i++) {
            submit(q, "a", NO_DEADLINE);
        }
        assertThat(started).hasSize(2);
        assertThat(q.load()).isEqualTo(5);
        running.remove(0).release();
        assertThat(started).hasSize(3);
        assertThat(q.running()).isEqualTo(2);
    }

    @Test
    void admitsFirstTheTeamThatUsedTheLeastSlotTime() {
        FairQueue q = new FairQueue(1, 10, clock);
        for (int i = 0; i < 4; i++) {
            submit(q, "greedy", NO_DEADLINE);
        }
        submit(q, "small", NO_DEADLINE);
        clock.advance(Duration.ofMillis(10));
        running.remove(0).release();
        assertThat(started).containsExactly("greedy", "small").inOrder();
    }

    @Test
    void dropsTheNewestCallOfTheTeamWithTheMostWaitingCallsWhenFull() {
        FairQueue q = new FairQueue(1, 3, clock);
        for (int i = 0; i < 4; i++) {
            submit(q, "greedy", NO_DEADLINE);
        }
        submit(q, "small", NO_DEADLINE);
        assertThat(refused).containsExactly("greedy " + ErrorCode.QUEUE_FULL);
        submit(q, "greedy", NO_DEADLINE);
        assertThat(refused).hasSize(2);
    }

    @Test
    void tellsHowManyCallsOfOtherTeamsWouldGoBeforeACall() {
        FairQueue q = new FairQueue(1, 10, clock);
        submit(q, "a", NO_DEADLINE);
        clock.advance(Duration.ofMillis(10));
        running.remove(0).release();
        for (int i = 0; i < 3; i++) {
            submit(q, "a", NO_DEADLINE);
        }
        QueuePosition p = q.positionOf(Submission.builder("b", NO_DEADLINE).build());
        assertThat(p).isEqualTo(new QueuePosition(2, Duration.ofMillis(30).toNanos(), Optional.empty()));
        Submission urgent = Submission.builder("b", NO_DEADLINE).priority(-1).build();
        assertThat(q.positionOf(urgent).before()).isEqualTo(0);
        assertThat(q.waiting()).isEqualTo(2);
    }

    @Test
    void refusesAtOnceACallExpectedToWaitPastItsDeadline() {
        FairQueue q = new FairQueue(1, 10, clock);
        submit(q, "a", NO_DEADLINE);
        clock.advance(Duration.ofMillis(100));
        running.remove(0).release();
        submit(q, "a", NO_DEADLINE);
        submit(q, "b", clock.nanoTime() + Duration.ofMillis(50).toNanos());
        assertThat(refused).containsExactly("b " + ErrorCode.DEADLINE_NOT_RUN);
    }

    @Test
    void refusesAWaitingCallWhoseDeadlinePassed() {
        FairQueue q = new FairQueue(1, 10, clock);
        submit(q, "a", NO_DEADLINE);
        submit(q, "b", clock.nanoTime() + Duration.ofMillis(50).toNanos());
        clock.advance(Duration.ofMillis(60));
        running.remove(0).release();
        assertThat(refused).containsExactly("b " + ErrorCode.DEADLINE_NOT_RUN);
        assertThat(q.load()).isEqualTo(0);
    }

    @Test
    void releasesASlotOnlyOnceWhenThePermitIsReleasedTwice() {
        FairQueue q = new FairQueue(1, 10, clock);
        submit(q, "a", NO_DEADLINE);
        running.get(0).release();
        running.get(0).release();
        assertThat(q.running()).isEqualTo(0);
    }

    @Test
    void refusesAllWaitingCallsWhenTheBackendServerLeaves() {
        FairQueue q = new FairQueue(1, 10, clock);
        submit(q, "a", NO_DEADLINE);
        submit(q, "b", NO_DEADLINE);
        q.refuseAll(ErrorCode.NO_BACKEND);
        assertThat(refused).containsExactly("b " + ErrorCode.NO_BACKEND);
        assertThat(q.load()).isEqualTo(1);
    }

    @Test
    void removesACancelledCallFromTheQueue() {
        FairQueue q = new FairQueue(1, 1, clock);
        submit(q, "a", NO_DEADLINE);
        Runnable cancel = q.submit("b", NO_DEADLINE, permit -> started.add("b"), code -> refused.add("b " + code));
        cancel.run();
        submit(q, "c", NO_DEADLINE);
        running.get(0).release();

        assertThat(started).containsExactly("a", "c").inOrder();
        assertThat(refused).isEmpty();
    }

    @Test
    void admitsMoreUrgentCallsFirstAndDropsLessUrgentOnesWhenFull() {
        FairQueue q = new FairQueue(1, 2, clock);
        List<FairQueue.Permit> permits = new ArrayList<>();
        List<String> order = new ArrayList<>();
        for (String call : List.of("2 first", "2 second", "2 third", "1 late", "0 last")) {
            int priority = call.charAt(0) - '0';
            q.submit(
                    Submission.builder("team", NO_DEADLINE).priority(priority).build(),
                    permit -> {
                        order.add(call);
                        permits.add(permit);
                    },
                    r -> order.add(call + " refused"));
        }
        permits.get(0).release();
        permits.get(1).release();

        assertThat(order)
                .containsExactly("2 first", "2 third refused", "2 second refused", "0 last", "1 late")
                .inOrder();
    }

    private void submit(FairQueue q, String team, long deadline) {
        q.submit(
                team,
                deadline,
                permit -> {
                    started.add(team);
                    running.add(permit);
                },
                code -> refused.add(team + " " + code));
    }
}
