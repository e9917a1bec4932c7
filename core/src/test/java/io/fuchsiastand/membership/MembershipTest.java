package io.fuchsiastand.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class MembershipTest {

    private final ManualClock clock = new ManualClock();
    private final Membership a = membership("a");

    @Test
    void declaresASuspectedMemberDeadOnlyAfterTheSuspicionTimeout() {
        addMember(a, "b");
        a.suspect("b");
        assertThat(state("b")).isEqualTo(MemberState.SUSPECT);
        clock.advance(Membership.SUSPICION_TIMEOUT.minusMillis(1));
        a.expire();
        assertThat(state("b")).isEqualTo(MemberState.SUSPECT);
        clock.advance(Duration.ofMillis(1));
        a.expire();
        assertThat(state("b")).isEqualTo(MemberState.DEAD);
    }

    @Test
    void marksAMemberAliveAgainWhenItRefutesASuspicion() {
        Membership b = membership("b");
        addMember(a, "b");
        a.suspect("b");
        b.apply(List.of(a.find("b").orElseThrow().toUpdate()));
        a.apply(b.snapshot());
        assertThat(state("b")).isEqualTo(MemberState.ALIVE);
        assertThat(a.find("b").orElseThrow().incarnation()).isEqualTo(2);
    }

    @Test
    void ignoresOutdatedUpdatesAboutADeadMember() {
        addMember(a, "b");
        List<MemberUpdate> outdated = a.snapshot();
        a.suspect("b");
        clock.advance(Membership.SUSPICION_TIMEOUT);
        a.expire();
        a.apply(outdated);
        assertThat(state("b")).isEqualTo(MemberState.DEAD);
    }

    @Test
    void doesNotRefuteADeadStateAfterTheDaemonHasLeft() {
        Membership b = membership("b");
        addMember(a, "b");
        b.leave();
        b.apply(List.of(
                b.find("b").orElseThrow().withState(MemberState.DEAD, 5, 0).toUpdate()));
        a.apply(b.snapshot());
        assertThat(state("b")).isEqualTo(MemberState.LEFT);
    }

    @Test
    void removesADeadMemberAfterTheRetentionAndNotifiesListeners() {
        List<String> removed = new ArrayList<>();
        a.listenRemoved(removed::add);
        addMember(a, "b");
        a.suspect("b");
        clock.advance(Membership.SUSPICION_TIMEOUT);
        a.expire();
        assertThat(removed).isEmpty();
        clock.advance(Membership.DEAD_RETENTION);
        a.expire();
        assertThat(removed).containsExactly("b");
        assertThat(a.find("b")).isEmpty();
    }

    // Guards against daemons that hang: a listener that needs another lock deadlocks with a thread that holds that lock
    // and
    // waits for the members.
    @Test
    void callsListenersWithoutHoldingItsLock() {
        List<Boolean> lockHeld = new ArrayList<>();
        a.listen(m -> lockHeld.add(Thread.holdsLock(a)));
        a.listenRemoved(h -> lockHeld.add(Thread.holdsLock(a)));
        addMember(a, "b");
        a.suspect("b");
        clock.advance(Membership.SUSPICION_TIMEOUT);
        a.expire();
        clock.advance(Membership.DEAD_RETENTION);
        a.expire();
        a.leave();
        assertThat(lockHeld).containsExactly(false, false, false, false, false);
    }

    @Test
    void deliversAChangeThatAListenerMakesAfterTheOneThatItReceives() {
        List<MemberState> first = new ArrayList<>();
        List<MemberState> second = new ArrayList<>();
        a.listen(m -> {
            first.add(m.state());
            a.suspect(m.host());
        });
        a.listen(m -> second.add(m.state()));
        addMember(a, "b");
        assertThat(first)
                .containsExactly(MemberState.ALIVE, MemberState.SUSPECT)
                .inOrder();
        assertThat(second)
                .containsExactly(MemberState.ALIVE, MemberState.SUSPECT)
                .inOrder();
    }

    @Test
    void deliversTheRemainingChangesAfterAListenerHasFailed() {
        List<String> received = new ArrayList<>();
        a.listen(m -> {
            received.add(m.host());
            if (m.host().equals("b")) {
                throw new IllegalStateException("the listener fails for b");
            }
        });
        assertThrows(
                IllegalStateException.class,
                () -> a.apply(List.of(member("b").toUpdate(), member("c").toUpdate())));
        a.expire();
        assertThat(received).containsExactly("b", "c").inOrder();
    }

    @Test
    void reachesEveryMemberAlthoughEachHasFewNeighbours() {
        int n = 300;
        List<MemberUpdate> updates = new ArrayList<>();
        List<Membership> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            updates.add(member("h" + i).toUpdate());
            all.add(membership("h" + i));
        }
        all.forEach(m -> m.apply(updates));
        Set<String> reached = new HashSet<>();
        Deque<Membership> queue = new ArrayDeque<>(List.of(all.get(0)));
        while (!queue.isEmpty()) {
            List<Member> neighbours = queue.poll().neighbours();
            assertThat(neighbours.size()).isAtMost(6);
            for (Member m : neighbours) {
                if (reached.add(m.host())) {
                    queue.add(all.get(Integer.parseInt(m.host().substring(1))));
                }
            }
        }
        assertThat(reached).hasSize(n);
    }

    private MemberState state(String host) {
        return a.find(host).orElseThrow().state();
    }

    private void addMember(Membership m, String host) {
        m.apply(List.of(member(host).toUpdate()));
    }

    private Membership membership(String host) {
        return new Membership(member(host), clock, new SplittableRandom(1));
    }

    private Member member(String host) {
        return new Member(host, "127.0.0.1", 1, 2, "zurich", 1, MemberState.ALIVE, clock.nanoTime());
    }
}
