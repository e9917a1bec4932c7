package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.List;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.limit.TokenIssuers;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.standin.MemoryObjectStore;
import io.fuchsiastand.store.StoredObject;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TokenIssuersControllerTest {

    private final ManualClock clock = new ManualClock();
    private final Settings settings = TestSettings.with("");
    private final Blackboard board = new Blackboard(settings, settings.ports(), clock);
    private final MemoryObjectStore store = new MemoryObjectStore();
    private double share = -1;
    private final TokenIssuersController controller =
            new TokenIssuersController(board, store, s -> share = s.applyAsDouble("zermatt"));

    @Test
    void issuesAnEqualShareOfTheTokensWhenTheStoreHoldsAList() {
        write(List.of("h0", "h1", "h2", "h3"), StoredObject.ABSENT);
        controller.start();
        controller.tick();

        assertThat(share).isEqualTo(0.25);
    }

    @Test
    void createsTheListAfterADelayWhenTheStoreHoldsNone() {
        controller.start();
        controller.tick();
        controller.tick();
        assertThat(store.get(TokenIssuersController.LIST_NAME)).isEmpty();
        clock.advance(Duration.ofSeconds(5));
        controller.tick();

        assertThat(hosts()).containsExactly("h1");
        assertThat(share).isEqualTo(1);
    }

    @Test
    void issuesNoTokensWhenTheListDoesNotContainTheHost() {
        write(List.of("h0"), StoredObject.ABSENT);
        controller.start();
        controller.tick();

        assertThat(share).isEqualTo(0);
    }

    @Test
    void removesItselfFromTheListAndStopsIssuingTokensWhenItLeaves() {
        long first = write(List.of("h0", "h1", "h2"), StoredObject.ABSENT);
        controller.start();
        controller.tick();
        // Another host has left since then, but this daemon has not received the new list.
        write(List.of("h0", "h1"), first);
        controller.leave();

        assertThat(hosts()).containsExactly("h0");
        assertThat(share).isEqualTo(0);
    }

    // Guards against hosts that have left and issue tokens again, on paper, when the store comes back older (CONFIG).
    @Test
    void writesTheListWithoutTheHostsThatHaveLeftWhenTheStoreComesBackOlder() {
        long first = write(List.of("h0", "h1", "h2"), StoredObject.ABSENT);
        store.makeCopy();
        write(List.of("h0", "h1"), first);
        controller.start();
        controller.tick();
        assertThat(share).isEqualTo(0.5);

        store.restoreCopy();
        controller.tick();
        assertThat(hosts()).containsExactly("h0", "h1");
        assertThat(share).isEqualTo(0.5);
    }

    // Guards against a list that no daemon writes again when the store comes back without it (CONFIG).
    @Test
    void writesTheListAgainWhenTheStoreComesBackWithoutIt() {
        store.makeCopy();
        write(List.of("h0", "h1"), StoredObject.ABSENT);
        controller.start();
        controller.tick();
        store.restoreCopy();
        controller.tick();

        assertThat(hosts()).containsExactly("h0", "h1");
    }

    // Guards against a list that other daemons ignore, because its version in the store was given out before (CONFIG).
    @Test
    void publishesALaterListWithAHigherVersionWhenAHostLeavesAfterTheStoreCameBackOlder() {
        long first = write(List.of("h0", "h1", "h2", "h3"), StoredObject.ABSENT);
        store.makeCopy();
        long second = write(List.of("h0", "h1", "h2"), first);
        store.put("members/h2", new byte[0], StoredObject.ABSENT, "member");
        write(List.of("h0", "h1"), second);
        controller.start();
        controller.tick();
        long known = recordVersion();

        store.restoreCopy();
        controller.leave();
        assertThat(hosts()).containsExactly("h0");
        assertThat(recordVersion()).isGreaterThan(known);
    }

    // Guards against a fleet that refuses everything once all its first hosts have been replaced (RECOVER).
    @Test
    void listsTheHostsOfTheFleetAgainAfterTheLastHostOfTheListHasLeft() {
        write(List.of("h0"), write(List.of("h0"), StoredObject.ABSENT));
        controller.start();
        controller.tick();
        long known = recordVersion();
        long left = store.get(TokenIssuersController.LIST_NAME).orElseThrow().version();
        store.put(
                TokenIssuersController.LIST_NAME,
                Json.write(TokenIssuers.initial(List.of("h0")).without("h0")),
                left,
                "left");
        board.records()
                .put(RecordStore.record(
                        TokenIssuersController.LIST_NAME,
                        known + 1,
                        store.get(TokenIssuersController.LIST_NAME)
                                .orElseThrow()
                                .value()));
        clock.advance(Duration.ofSeconds(5));
        controller.tick();

        assertThat(hosts()).containsExactly("h1");
        assertThat(share).isEqualTo(1);
        assertThat(recordVersion()).isGreaterThan(known + 1);
    }

    @Test
    void handsTheListOverToTheOtherHostsOfTheFleetWhenItsLastHostLeaves() {
        write(List.of("h1"), StoredObject.ABSENT);
        controller.start();
        controller.tick();
        for (String host : List.of("h2", "h3")) {
            board.members()
                    .apply(List.of(new Member(host, "127.0.0.1", 1, 2, "zurich", 1, MemberState.ALIVE, clock.nanoTime())
                            .toUpdate()));
        }
        long known = recordVersion();
        board.lifecycle().set(Lifecycle.LEAVING);
        controller.leave();

        assertThat(hosts()).containsExactly("h2", "h3");
        assertThat(share).isEqualTo(0);
        assertThat(recordVersion()).isGreaterThan(known);
    }

    // Guards against the same fault when all processes end and none knows the list any more.
    @Test
    void listsTheHostsOfTheFleetWhenTheStoreHoldsAnEmptyList() {
        write(List.of(), StoredObject.ABSENT);
        controller.start();
        controller.tick();
        clock.advance(Duration.ofSeconds(5));
        controller.tick();

        assertThat(hosts()).containsExactly("h1");
        assertThat(share).isEqualTo(1);
    }

    // Guards against a list of hosts that no longer issue tokens, which returns when the store comes back older.
    @Test
    void keepsTheLaterListWhenTheStoreComesBackWithOneWhoseHostsHaveAllLeft() {
        long first = write(List.of("h0"), StoredObject.ABSENT);
        store.makeCopy();
        TokenIssuers later = TokenIssuers.initial(List.of("h0")).without("h0").next(List.of("h1", "h2"));
        store.put(TokenIssuersController.LIST_NAME, Json.write(later), first, "later");
        controller.start();
        controller.tick();
        assertThat(share).isEqualTo(0.5);

        store.restoreCopy();
        controller.tick();
        assertThat(hosts()).containsExactly("h1", "h2");
        assertThat(share).isEqualTo(0.5);
    }

    private long recordVersion() {
        return board.records()
                .get(TokenIssuersController.LIST_NAME)
                .orElseThrow()
                .getVersion();
    }

    private long write(List<String> hosts, long expected) {
        return store.put(
                TokenIssuersController.LIST_NAME, Json.write(TokenIssuers.initial(hosts)), expected, "test" + expected);
    }

    private List<String> hosts() {
        StoredObject o = store.get(TokenIssuersController.LIST_NAME).orElseThrow();
        return Json.read(o.value(), TokenIssuers.class).hosts();
    }
}
