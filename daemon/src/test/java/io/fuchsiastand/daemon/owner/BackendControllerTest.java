package io.fuchsiastand.daemon.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.queue.FairQueue;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendControllerTest {

    private static final String ID = "menu-1";

    private final ManualClock clock = new ManualClock();
    private final Settings settings = TestSettings.with("");
    private final Blackboard board = new Blackboard(settings, settings.ports(), clock);
    private final Transport transport = new Transport(Optional.empty());
    private final BackendController backends = new BackendController(board, transport);

    @AfterEach
    void stop() {
        transport.close();
    }

    // Guards against daemons that hang: a listener of records or a refused call that needs another lock deadlocks with
    // a
    // thread that holds that lock and waits for the controller.
    @Test
    void callsListenersOfRecordsWithoutHoldingItsLock() {
        List<Boolean> lockHeld = new ArrayList<>();
        board.records().listen(r -> lockHeld.add(Thread.holdsLock(backends)));
        announce();
        backends.drain(ID);
        backends.unregister(ID);
        assertThat(lockHeld).containsExactly(false, false, false);
    }

    @Test
    void refusesWaitingCallsWithoutHoldingItsLock() {
        List<Boolean> lockHeld = new ArrayList<>();
        announce();
        FairQueue queue = backends.find(ID).orElseThrow().queue();
        long deadline = clock.nanoTime() + 1_000_000_000L;
        queue.submit("team", deadline, permit -> {}, code -> {});
        queue.submit("team", deadline, permit -> {}, code -> lockHeld.add(Thread.holdsLock(backends)));
        backends.drain(ID);
        assertThat(lockHeld).containsExactly(false);
    }

    @Test
    void runsTheNextCallWithoutHoldingTheLockOfACancelledOne() {
        List<Boolean> lockHeld = new ArrayList<>();
        FairQueue queue = new FairQueue(1, 5, clock);
        long deadline = clock.nanoTime() + 1_000_000_000L;
        SlotRequest first = new SlotRequest();
        SlotRequest second = new SlotRequest();
        first.setRemoval(queue.submit("team", deadline, first::grant, code -> {}));
        second.setRemoval(queue.submit("team", deadline, second::grant, code -> {}));
        queue.submit(
                "team",
                deadline,
                permit -> lockHeld.add(Thread.holdsLock(first) || Thread.holdsLock(second)),
                code -> {});
        first.cancel();
        second.cancel();
        assertThat(lockHeld).containsExactly(false);
    }

    private void announce() {
        backends.announce(LocalBackend.Announcement.of(ID, "menu", "127.0.0.1", 7501, 1, 10));
    }
}
