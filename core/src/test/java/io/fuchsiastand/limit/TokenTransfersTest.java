package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.Set;

import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TokenTransfersTest {

    private static final TeamService BERN = new TeamService("bern", "*");
    private static final TeamService CHUR = new TeamService("chur", "*");
    private static final String HOST = "h1";

    private final ManualClock clock = new ManualClock();
    private final TokenTransfers transfers = new TokenTransfers(clock);

    // The load: a fleet of more than 64 hosts in which one host aggregates the tokens of two shards. The answer for one
    // shard
    // must not stop the transfers of the other.
    @Test
    void keepsTheNeedsOfTwoTokenShardsWithOneAggregatorApart() {
        assertThat(transfers.start(0, HOST, true, true)).isTrue();
        assertThat(transfers.mayStart(1, HOST)).isTrue();
        transfers.answered(0, HOST, Set.of(BERN));

        assertThat(transfers.select(0, HOST, Set.of(BERN))).containsExactly(BERN);
        assertThat(transfers.select(1, HOST, Set.of(CHUR))).containsExactly(CHUR);
        assertThat(transfers.start(1, HOST, false, true)).isTrue();
    }

    @Test
    void startsNoTransferWhileTheAnswerToTheLastOneIsOutstanding() {
        assertThat(transfers.start(0, HOST, true, true)).isTrue();
        assertThat(transfers.mayStart(0, HOST)).isFalse();
        assertThat(transfers.start(0, HOST, true, true)).isFalse();
        transfers.failed(0, HOST);

        assertThat(transfers.start(0, HOST, true, true)).isTrue();
    }

    @Test
    void transfersOnlyWhatIsNeededUntilATransferFails() {
        transfers.start(0, HOST, true, true);
        transfers.answered(0, HOST, Set.of());
        assertThat(transfers.select(0, HOST, Set.of(BERN, CHUR))).isEmpty();
        transfers.failed(0, HOST);

        assertThat(transfers.select(0, HOST, Set.of(BERN, CHUR))).containsExactly(BERN, CHUR);
    }

    @Test
    void asksAgainForNeedsOnlyIfThisHostIssuesTokensAndAfterAWhile() {
        transfers.start(0, HOST, true, true);
        transfers.answered(0, HOST, Set.of());
        assertThat(transfers.start(0, HOST, false, true)).isFalse();
        clock.advance(Duration.ofMillis(400));

        assertThat(transfers.start(0, HOST, false, false)).isFalse();
        assertThat(transfers.start(0, HOST, false, true)).isTrue();
    }
}
