package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TokenAggregatorsTest {

    private static final int HOSTS = 8;
    private static final int ISSUERS = 4;
    private static final TeamService KEY = new TeamService("zermatt", "*");
    private static final Allowance ALLOWANCE = new Allowance(40, 40);
    private static final Duration TICK = Duration.ofMillis(200);
    private static final List<String> CANDIDATES = List.of("h0", "h1", "h2");

    private final ManualClock clock = new ManualClock();
    private final List<TokenAggregators> views = new ArrayList<>();
    private final List<DistributedTokenBuckets> fleet = new ArrayList<>();
    private final Set<String> cutPaths = new HashSet<>();

    TokenAggregatorsTest() {
        for (int i = 0; i < HOSTS; i++) {
            TokenAggregators a = new TokenAggregators("h" + i, clock);
            a.setCandidates(Map.of(0, CANDIDATES));
            views.add(a);
            DistributedTokenBuckets b = new DistributedTokenBuckets(
                    new UnusedTokenLimits(Duration.ofSeconds(5), 0.1, 20), k -> Optional.of(ALLOWANCE), clock);
            double share = i < ISSUERS ? 1.0 / ISSUERS : 0;
            b.setIssueShares(team -> share);
            fleet.add(b);
        }
    }

    @Test
    void returnsToTheFirstCandidateAfterAWhile() {
        TokenAggregators a = views.get(5);
        assertThat(a.skip("h0")).isTrue();
        assertThat(a.skip("h0")).isFalse();
        assertThat(a.aggregator(0)).hasValue("h1");
        clock.advance(TokenAggregators.SKIP_DURATION);

        assertThat(a.aggregator(0)).hasValue("h0");
    }
}
