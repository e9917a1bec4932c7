package io.fuchsiastand.daemon.dispatch;

import java.util.List;
import java.util.Random;
import java.util.Set;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.routing.HostRecord;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SpillReportsTest {

    @Test
    void theMetricShowsTheShareOfAServiceWhoseOwnDataCentreIsFull() {
        assertThat(scrapeWhileOwnDataCentreIsFull("[scheduling]\nspill = true"))
                .contains("fuchsiastand_share_kept_local{service=\"menu\"} 0.5");
    }

    @Test
    void withoutTheSettingNoServiceHasAShare() {
        assertThat(scrapeWhileOwnDataCentreIsFull("")).doesNotContain("fuchsiastand_share_kept_local");
    }

    private static String scrapeWhileOwnDataCentreIsFull(String tables) {
        Settings s = TestSettings.with(tables);
        Blackboard board = new Blackboard(s, s.ports(), new ManualClock());
        addHost(board, "near", "zurich");
        addHost(board, "far", "basel");
        for (int i = 0; i < 8; i++) {
            board.directory().find("near", "near").orElseThrow().begin();
        }
        Metrics metrics = new Metrics();
        board.directory().pick("menu", Set.of(), new Random(1));
        new SpillReports(board.directory(), metrics).update("menu");
        return metrics.scrape();
    }

    private static void addHost(Blackboard board, String host, String dataCentre) {
        board.members()
                .apply(List.of(
                        new Member(host, "10.0.0.1", 8081, 8082, dataCentre, 1, MemberState.ALIVE, 0).toUpdate()));
        board.directory()
                .update(new HostRecord(
                        host, List.of(new BackendServer(host, "menu", 4, BackendState.SERVING, 1, 0, 1))));
    }
}
