package io.fuchsiastand.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests loads at a backend server whose calls wait by due date. Times are in milliseconds. */
class DueDateQueueTest {

    private final ManualClock clock = new ManualClock();
    private final long origin = clock.nanoTime();
    private final FairQueue queue = new FairQueue(1, 8, clock, QueueOrder.DUE_DATE);
    private final Map<String, FairQueue.Permit> running = new LinkedHashMap<>();
    private final List<String> started = new ArrayList<>();
    private final Map<String, QueueRefusal> refused = new LinkedHashMap<>();

    // Load pattern: urgent calls behind long ones.
    @Test
    void urgentCallGoesBeforeLongOnesAndThoseThatMissTheirDeadlineForItAreRefusedAtOnce() {
        submit("running", call("a", 9000).expectedNanos(nanos(1000)));
        submit("long", call("a", 9000).priority(1).expectedNanos(nanos(2000)));
        submit("tight", call("b", 2200).priority(1).expectedNanos(nanos(800)));
        submit("urgent", call("c", 2500).expectedNanos(nanos(500)));
        assertThat(refused.keySet()).containsExactly("tight");
        end("running", 1000);
        end("urgent", 500);
        assertThat(started).containsExactly("running", "urgent", "long").inOrder();
    }

    // Load pattern: burst over too little room.
    @Test
    void burstIsRefusedAtOnceByTheWorkBeforeACallAndItsOwn() {
        submit("running", call("a", 9000).expectedNanos(nanos(1000)));
        submit("first", call("a", 9000).expectedNanos(nanos(1000)));
        submit("cannot finish", call("a", 2500).target(origin).expectedNanos(nanos(600)));
        submit("can finish", call("a", 2500).target(origin).expectedNanos(nanos(400)));
        submit("can go elsewhere", call("a", 9000).maxWaitNanos(nanos(500)).expectedNanos(nanos(400)));

        assertThat(refused.keySet())
                .containsExactly("cannot finish", "can go elsewhere")
                .inOrder();
        assertThat(refused.get("cannot finish"))
                .isEqualTo(new QueueRefusal(ErrorCode.DEADLINE_NOT_RUN, nanos(2000), nanos(2000), nanos(600)));
        assertThat(refused.get("can go elsewhere").code()).isEqualTo(ErrorCode.QUEUE_FULL);
    }

    // Load pattern: burst over too little room. A call that is served late must not make the next one late.
    @Test
    void callThatMissesItsTargetGoesBehindThoseThatCanMeetIt() {
        submit("running", call("a", 9000).expectedNanos(nanos(1000)));
        submit("late", call("a", 9000).target(at(1200)).expectedNanos(nanos(500)));
        submit("on time", call("a", 9000).target(at(1600)).expectedNanos(nanos(500)));
        end("running", 1000);
        assertThat(started).containsExactly("running", "on time").inOrder();
    }

    // Load pattern: late calls don't starve.
    @Test
    void lateCallGetsEveryFourthSlotWhileCallsThatCanMeetTheirTargetsKeepArriving() {
        submit("running", call("a", 9000).expectedNanos(nanos(100)));
        submit("late", call("a", 9000).target(at(150)).expectedNanos(nanos(100)));
        String last = "running";
        for (int i = 0; i < 4; i++) {
            submit("on time " + i, call("a", 9000).expectedNanos(nanos(100)));
            end(last, 100);
            last = started.get(started.size() - 1);
        }
        assertThat(started)
                .containsExactly("running", "on time 0", "on time 1", "on time 2", "late")
                .inOrder();
    }

    // Load pattern: one hot team.
    @Test
    void hotTeamPaysForItsSlotsBeforeItsCallsEnd() {
        submit("hot 0", call("hot", 9000).expectedNanos(nanos(500)));
        for (int i = 1; i <= 3; i++) {
            submit("hot " + i, call("hot", 9000).expectedNanos(nanos(500)));
        }
        end("hot 0", 500);
        submit("other", call("other", 9500).expectedNanos(nanos(500)));
        end("hot 1", 500);
        assertThat(started).containsExactly("hot 0", "hot 1", "other").inOrder();
    }

    // Load pattern: one hot team.
    @Test
    void hotTeamLosesTheCallThatWouldBeServedLastWhenTheQueueIsFull() {
        submit("running", call("hot", 90_000).expectedNanos(nanos(1000)));
        for (int i = 0; i < 8; i++) {
            submit("hot " + i, call("hot", 90_000 - i).expectedNanos(nanos(1000)));
        }
        submit("other", call("other", 90_000).expectedNanos(nanos(1000)));
        assertThat(refused.keySet()).containsExactly("hot 0");
    }

    // Failure: a running call never ends.
    @Test
    void refusesMoreTheLongerARunningCallIsOverdueAndRecoversWhenItsSlotIsReleased() {
        submit("stuck", call("a", 9000).expectedNanos(nanos(500)));
        clock.advance(Duration.ofMillis(600));
        submit("soon", call("a", 1600).expectedNanos(nanos(500)));
        assertThat(refused).isEmpty();
        clock.advance(Duration.ofMillis(600));
        submit("not in time", call("b", 2300).expectedNanos(nanos(500)));
        assertThat(refused.keySet()).containsExactly("soon", "not in time");
        assertThat(refused.get("not in time").waitNanos()).isEqualTo(nanos(700));

        end("stuck", 0);
        submit("after", call("a", 2500).expectedNanos(nanos(500)));
        assertThat(started).containsExactly("stuck", "after").inOrder();
    }

    @Test
    void tellsWhereACallWouldStandWithoutChangingTheQueue() {
        Submission urgent = call("c", 9000).expectedNanos(nanos(100)).build();
        assertThat(queue.positionOf(urgent)).isEqualTo(new QueuePosition(0, 0, Optional.empty()));
        submit("running", call("a", 9000).expectedNanos(nanos(1000)));
        submit("urgent", call("a", 9000).expectedNanos(nanos(500)));
        submit("long", call("a", 9000).priority(1).expectedNanos(nanos(2000)));
        assertThat(queue.positionOf(urgent)).isEqualTo(new QueuePosition(1, nanos(1500), Optional.empty()));
        Submission late = call("b", 2000).priority(1).expectedNanos(nanos(600)).build();
        assertThat(queue.positionOf(late))
                .isEqualTo(new QueuePosition(2, nanos(3500), Optional.of(ErrorCode.DEADLINE_NOT_RUN)));
        assertThat(queue.waiting()).isEqualTo(2);
        assertThat(refused).isEmpty();
    }

    @Test
    void spreadsTheReturnOfRefusedCallersButLeavesTimeToRun() {
        Random random = new Random(1);
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            millis.add(RetrySpread.retryAfterMillis(nanos(1000), nanos(1200), random));
            assertThat(RetrySpread.retryAfterMillis(nanos(1000), nanos(10), random))
                    .isEqualTo(FairQueue.MIN_WAIT_MILLIS);
        }
        millis.sort(null);
        assertThat(millis.get(0)).isLessThan(900);
        assertThat(millis.get(99)).isGreaterThan(1100);
        assertThat(millis.get(99)).isAtMost(1200);
    }

    private Submission.Builder call(String team, long deadlineMillis) {
        return Submission.builder(team, at(deadlineMillis));
    }

    private long at(long millis) {
        return origin + nanos(millis);
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private void submit(String name, Submission.Builder call) {
        queue.submit(
                call.build(),
                permit -> {
                    started.add(name);
                    running.put(name, permit);
                },
                r -> refused.put(name, r));
    }

    private void end(String name, long millis) {
        clock.advance(Duration.ofMillis(millis));
        running.remove(name).release();
    }
}
