package io.fuchsiastand.work;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class WorkEstimatesTest {

    private static final WorkKind A = new WorkKind("menu", "a", 0);
    private static final WorkKind B = new WorkKind("menu", "b", 0);
    private static final WorkKind C = new WorkKind("menu", "c", 0);

    private final WorkEstimates estimates = new WorkEstimates();

    @Test
    void knowsNothingBeforeCallsHaveEnded() {
        assertThat(estimates.expectedMillis(A)).isEqualTo(0);
        assertThat(estimates.remainingMillis(A, 10)).isEqualTo(0);
    }

    @Test
    void expectsOfAnUnknownKindTheMeanOfAll() {
        learn(A, 100, 10);
        assertThat(estimates.expectedMillis(B)).isWithin(1e-9).of(100);
    }

    @Test
    void tellsWhenAnEstimateBecomesKnownAndWhenItHasDoubled() {
        learn(A, 100, 3);
        assertThat(estimates.learn(A, 100)).isPresent();
        assertThat(estimates.learn(A, 100)).isEmpty();
        boolean told = false;
        for (int i = 0; i < 50; i++) {
            told |= estimates.learn(A, 300).isPresent();
        }
        assertThat(told).isTrue();
    }

    @Test
    void aDaemonThatRestartedAdoptsWhatOthersHaveLearnedUntilItsOwnCallsEnd() {
        estimates.adopt(A, 400);
        assertThat(estimates.expectedMillis(A)).isEqualTo(400);
        learn(A, 200, 30);
        estimates.adopt(A, 400);
        assertThat(estimates.expectedMillis(A)).isLessThan(250);
    }

    @Test
    void oneStuckCallChangesAnEstimateLittle() {
        learn(A, 100, 50);
        estimates.learn(A, 1e7);
        assertThat(estimates.expectedMillis(A)).isLessThan(200);
    }

    @Test
    void listsWhatItKnowsOfEachKindWithItsSpread() {
        learn(A, 100, 50);
        for (int i = 0; i < 200; i++) {
            estimates.learn(B, i % 2 == 0 ? 100 : 300);
        }
        estimates.adopt(C, 400);
        estimates.learn(new WorkKind("menu", "d", 0), 1);
        List<KindEstimate> known = estimates.known();
        assertThat(known.stream().map(KindEstimate::kind))
                .containsExactly(C, B, A)
                .inOrder();
        assertThat(known.stream().map(KindEstimate::learned))
                .containsExactly(false, true, true)
                .inOrder();
        assertThat(known.get(1).relativeDeviation()).isWithin(0.1).of(0.5);
        assertThat(known.get(2).relativeDeviation()).isEqualTo(0);
    }

    // 3 calls in 100 take 7 times as long.
    @Test
    void aCallThatHasOutlivedTheMeanIsExpectedToTakeLonger() {
        for (int i = 1; i <= 300; i++) {
            estimates.learn(A, i % 33 == 0 ? 700 : 100);
        }
        double atStart = estimates.remainingMillis(A, 0);
        double almostDone = estimates.remainingMillis(A, 90);
        double outlived = estimates.remainingMillis(A, 200);
        assertThat(almostDone).isLessThan(atStart);
        assertThat(outlived).isGreaterThan(3 * atStart);
    }

    private void learn(WorkKind kind, double millis, int calls) {
        for (int i = 0; i < calls; i++) {
            estimates.learn(kind, millis);
        }
    }
}
