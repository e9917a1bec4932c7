package io.fuchsiastand.daemon.dispatch;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.routing.Candidate;
import io.fuchsiastand.time.ManualClock;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class WorkReportsTest {

    private static final WorkKind KIND = new WorkKind("menu", "a", 0);

    private final ManualClock clock = new ManualClock();
    private final Blackboard board = board("[scheduling]\nby_work = true");
    private final WorkReports reports = new WorkReports(board);
    private final Candidate a = candidate("a");
    private final Candidate b = candidate("b");

    @Test
    void anAnswerTellsTheCostOfACallAndHowBusyTheBackendServerIs() {
        reports.read(KIND, a, headers("900", "300"));
        reports.read(KIND, b, headers("100", "300"));
        assertThat(reports.usualMillis(KIND)).isEqualTo(300);
        assertThat(b.expectedFinishMillis(300, clock.nanoTime()))
                .isLessThan(a.expectedFinishMillis(300, clock.nanoTime()));
    }

    @Test
    void aDaemonWithoutAnswersChoosesByTheNumberOfCalls() {
        assertThat(reports.usualMillis(KIND)).isEqualTo(0);
    }

    @Test
    void withoutTheSettingAnswersTellNothing() {
        WorkReports off = new WorkReports(board(""));
        off.read(KIND, a, headers("900", "300"));
        assertThat(off.usualMillis(KIND)).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"x, x", "-1, -1", "NaN, NaN", "Infinity, Infinity", "1e300, 0"})
    void aStatementThatIsNotValidIsIgnored(String busy, String cost) {
        reports.read(KIND, a, headers(busy, cost));
        assertThat(reports.usualMillis(KIND)).isEqualTo(0);
        assertThat(a.expectedFinishMillis(300, clock.nanoTime())).isEqualTo(300);
    }

    private Blackboard board(String tables) {
        Settings s = TestSettings.with(tables);
        return new Blackboard(s, s.ports(), clock);
    }

    private Candidate candidate(String id) {
        return new Candidate(
                "h1",
                new BackendServer(id, "menu", 4, BackendState.SERVING, 1, 0, 1),
                board.directory().work("menu"),
                clock.nanoTime());
    }

    private static HttpHeaders headers(String busy, String cost) {
        return DefaultHttpHeadersFactory.INSTANCE
                .newHeaders()
                .set(HeaderNames.BUSY, busy)
                .set(HeaderNames.COST, cost);
    }
}
