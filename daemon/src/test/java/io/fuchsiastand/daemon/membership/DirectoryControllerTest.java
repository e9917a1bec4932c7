package io.fuchsiastand.daemon.membership;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.routing.Departures;
import io.fuchsiastand.routing.HostRecord;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class DirectoryControllerTest {

    private static final int ROUNDS = 20_000;
    private static final int MAX_SECONDS = 20;

    private final ManualClock clock = new ManualClock();
    private final Settings settings = TestSettings.with("");
    private final Blackboard board = new Blackboard(settings, settings.ports(), clock);
    private final Transport transport = new Transport(Optional.empty());
    private final Membership members = board.members();
    // Called before the controller learns that a member is removed.
    private Consumer<String> onRemoved = h -> {};
    // Called before the controller receives a record.
    private Consumer<Record> onStored = r -> {};

    @BeforeEach
    void start() {
        members.listenRemoved(h -> onRemoved.accept(h));
        board.records().listen(r -> onStored.accept(r));
        new DirectoryController(board, new Peers(transport, Clock.system())).start();
    }

    @AfterEach
    void stop() {
        transport.close();
    }

    // Guards against daemons that hang after many processes were killed: one thread applied member updates while
    // another
    // applied a host record or a configuration, and each waited for the lock of the other.
    @Test
    void appliesMemberUpdatesWhileHostRecordsAndConfigurationsAreApplied() throws InterruptedException {
        join("h2", 1);
        assertEndsWithoutDeadlock(
                n -> {
                    members.suspect("h2");
                    join("h2", n + 2);
                },
                n -> board.records().put(hostRecord("h2", n + 1)),
                n -> board.directory().updateAllWeights());
    }

    // Guards against the same fault between the members and the records: a member is removed long after it has died.
    @Test
    void removesMembersWhileRecordsOfOtherHostsArrive() throws InterruptedException {
        join("h2", 1);
        assertEndsWithoutDeadlock(
                n -> {
                    join("h3", n + 1);
                    members.suspect("h3");
                    clock.advance(Membership.SUSPICION_TIMEOUT);
                    members.expire();
                    clock.advance(Membership.DEAD_RETENTION);
                    members.expire();
                },
                n -> board.records().put(hostRecord("h2", n + 1)));
    }

    @Test
    void keepsTheBackendServersOfAHostThatJoinsAgainBeforeItsRemovalIsDelivered() {
        onRemoved = h -> {
            join(h, 2);
            board.records().put(hostRecord(h, 2));
        };
        join("h2", 1);
        board.records().put(hostRecord("h2", 1));
        members.suspect("h2");
        clock.advance(Membership.SUSPICION_TIMEOUT);
        members.expire();
        clock.advance(Membership.DEAD_RETENTION);
        members.expire();
        assertThat(board.directory().candidates("menu")).hasSize(1);
        assertThat(board.records().get(HostRecord.PREFIX + "h2")).isPresent();
    }

    // Guards against calls to a backend server that has left: two threads store a record, and the listeners receive the
    // older
    // version last (DRAIN).
    @Test
    void keepsTheNewestRecordOfAHostWhenAnOlderOneIsDeliveredLater() {
        onStored = r -> {
            if (r.getVersion() == 1) {
                board.records()
                        .put(RecordStore.record(
                                HostRecord.PREFIX + "h2", 2, Json.write(new HostRecord("h2", List.of()))));
            }
        };
        join("h2", 1);
        board.records().put(hostRecord("h2", 1));
        assertThat(board.directory().candidates("menu")).isEmpty();
    }

    // Guards against calls to a backend server that has left, because its daemon restarted and announces it again
    // (DRAIN).
    @Test
    void picksNoBackendServerThatHasLeftWhenItsHostAnnouncesItAgain() {
        join("h2", 1);
        board.records().put(hostRecord("h2", 1));
        assertThat(board.directory().pick("menu", Set.of(), new Random(1))).isPresent();
        Departures departures = new Departures("h2", List.of(new Departures.Process("menu-1", 1)));
        board.records().put(RecordStore.record(Departures.PREFIX + "h2", 1, Json.write(departures)));
        assertThat(board.directory().pick("menu", Set.of(), new Random(1))).isEmpty();

        board.records()
                .put(RecordStore.record(HostRecord.PREFIX + "h2", 2, Json.write(new HostRecord("h2", List.of()))));
        board.records().put(hostRecord("h2", 3));
        assertThat(board.directory().pick("menu", Set.of(), new Random(1))).isEmpty();
    }

    private interface Step {
        void run(int round);
    }

    // Daemon threads, since a deadlocked thread cannot be ended.
    private static void assertEndsWithoutDeadlock(Step... steps) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(steps.length);
        for (Step s : steps) {
            Thread t = new Thread(() -> {
                for (int n = 0; n < ROUNDS; n++) {
                    s.run(n);
                }
                ended.countDown();
            });
            t.setDaemon(true);
            t.start();
        }
        boolean allEnded = ended.await(MAX_SECONDS, TimeUnit.SECONDS);
        assertWithMessage("deadlocked threads").that(deadlockedThreads()).isEmpty();
        assertWithMessage("all threads ended").that(allEnded).isTrue();
    }

    private static List<ThreadInfo> deadlockedThreads() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long[] ids = threads.findDeadlockedThreads();
        return ids == null ? List.of() : List.of(threads.getThreadInfo(ids));
    }

    private void join(String host, long incarnation) {
        members.apply(
                List.of(new Member(host, "127.0.0.1", 1, 2, "zurich", incarnation, MemberState.ALIVE, clock.nanoTime())
                        .toUpdate()));
    }

    private static Record hostRecord(String host, long version) {
        BackendServer s = new BackendServer("menu-1", "menu", 3, BackendState.SERVING, 1, 0, 1);
        return RecordStore.record(HostRecord.PREFIX + host, version, Json.write(new HostRecord(host, List.of(s))));
    }
}
