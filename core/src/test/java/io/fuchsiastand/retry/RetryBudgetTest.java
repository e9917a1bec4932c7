package io.fuchsiastand.retry;

import java.time.Duration;

import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration SLICE = Duration.ofSeconds(1);

    private final ManualClock clock = new ManualClock();
    private final RetryBudget budget = new RetryBudget(0.2, WINDOW, () -> 1, clock.nanoTime(), clock);

    @Test
    void grantsADaemonItsShareOfTheSlackAfterItsFirstWindow() {
        assertThat(budget.tryRetry()).isFalse();
        clock.advance(WINDOW);
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();
    }

    // Guards against budgets of services without requests for a while after the start, which began their first window
    // with
    // the first request, so that none of the failures in the first 10 s of traffic was retried.
    @Test
    void grantsTheSlackToTheFirstRequestsOfAServiceWhenTheProcessHasRunForAWindow() {
        long processStart = clock.nanoTime();
        clock.advance(WINDOW);
        RetryBudget first = new RetryBudget(0.2, WINDOW, () -> 2, processStart, clock);
        first.recordRequest();

        assertThat(first.tryRetry()).isTrue();
        assertThat(first.tryRetry()).isTrue();
        assertThat(first.tryRetry()).isFalse();
    }

    @Test
    void limitsRetriesToTheRatioOfTheRequestsPlusTheSlack() {
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 100; i++) {
            budget.recordRequest();
            requests++;
            retries += budget.tryRetry() ? 1 : 0;
            clock.advance(Duration.ofMillis(50));
        }

        assertThat((double) retries).isAtMost(0.2 * requests + 1);
        assertThat(retries).isAtLeast(10);
    }

    @Test
    void countsRetriesThatWereMadeWithoutACheck() {
        for (int i = 0; i < 100; i++) {
            budget.recordRequest();
        }
        // In its first window the daemon has no slack, and 100 requests allow 0.7 x 0.2 x 100 = 14 retries.
        budget.recordRetries(14.5);

        assertThat(budget.tryRetry()).isFalse();
    }

    @Test
    void ignoresRequestsThatAreOlderThanTheWindow() {
        for (int i = 0; i < 100; i++) {
            budget.recordRequest();
        }
        assertThat(budget.tryRetry()).isTrue();
        clock.advance(WINDOW.plus(SLICE));

        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();
    }

    // Guards against a retry that is forgotten up to a slice before the window has passed, so that a window held the
    // slack
    // of a daemon twice.
    @Test
    void countsARetryForTheWholeWindow() {
        clock.advance(WINDOW.plus(SLICE.multipliedBy(9).dividedBy(10)));
        assertThat(budget.tryRetry()).isTrue();
        for (Duration d = Duration.ZERO; d.compareTo(WINDOW) < 0; d = d.plus(Duration.ofMillis(100))) {
            assertThat(budget.tryRetry()).isFalse();
            clock.advance(Duration.ofMillis(100));
        }
        clock.advance(SLICE);

        assertThat(budget.tryRetry()).isTrue();
    }

    @Test
    void lendsWhatItHasLeftAndCountsItAsUsed() {
        assertThat(budget.lend(1)).isEqualTo(0);
        clock.advance(WINDOW);

        assertThat(budget.lend(0.4)).isEqualTo(0.4);
        assertThat(budget.tryRetry()).isFalse();
        assertThat(budget.lend(5)).isWithin(1e-9).of(0.6);
        assertThat(budget.lend(1)).isEqualTo(0);
    }
}
