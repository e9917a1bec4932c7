package io.fuchsiastand.daemon.dispatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BodyBudgetTest {

    private static final long SHORT = 64 * 1024;
    private static final long UPLOAD = 300_000;

    private final BodyBudget budget = new BodyBudget(1_000_000);

    // The load: uploads that come in faster than they are answered. Memory stays bounded, and those beyond are
    // streamed.
    @Test
    void keepsUploadsOnlyUpToTheBudget() {
        for (int i = 0; i < 3; i++) {
            assertThat(budget.tryReserve(UPLOAD)).isTrue();
        }
        assertThat(budget.tryReserve(UPLOAD)).isFalse();
        budget.release(UPLOAD);

        assertThat(budget.tryReserve(UPLOAD)).isTrue();
    }

    @Test
    void keepsShortBodiesAlways() {
        for (int i = 0; i < 100; i++) {
            assertThat(budget.tryReserve(SHORT)).isTrue();
        }
    }

    @Test
    void streamsBodiesThatAreVeryLongOrOfUnknownLength() {
        assertThat(budget.tryReserve(2_000_000)).isFalse();
        assertThat(budget.tryReserve(Long.MAX_VALUE)).isFalse();
        assertThat(budget.tryReserve(UPLOAD)).isTrue();
    }
}
