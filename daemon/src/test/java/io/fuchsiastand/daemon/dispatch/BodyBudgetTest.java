package io.fuchsiastand.daemon.dispatch;

import io.fuchsiastand.memory.SharedBuffer;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BodyBudgetTest {

    private static final long SHORT = 64 * 1024;
    private static final long UPLOAD = 300_000;

    private final SharedBuffer buffer = new SharedBuffer(100 * SHORT);
    private final BodyBudget budget = new BodyBudget(1_000_000, buffer);

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
    void keepsShortBodiesBeyondTheBudgetWhileTheHostHasRoom() {
        for (int i = 0; i < 100; i++) {
            assertThat(budget.tryReserve(SHORT)).isTrue();
        }
        assertThat(budget.tryReserve(SHORT)).isFalse();
        assertThat(budget.tryReserve(UPLOAD)).isFalse();
        for (int i = 0; i < 100; i++) {
            budget.release(SHORT);
        }
        assertThat(buffer.heldBytes()).isEqualTo(0);
        assertThat(budget.tryReserve(UPLOAD)).isTrue();
    }

    @Test
    void streamsBodiesThatAreVeryLongOrOfUnknownLength() {
        assertThat(budget.tryReserve(2_000_000)).isFalse();
        assertThat(budget.tryReserve(Long.MAX_VALUE)).isFalse();
        assertThat(budget.tryReserve(UPLOAD)).isTrue();
    }
}
