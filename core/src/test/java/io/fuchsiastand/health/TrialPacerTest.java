package io.fuchsiastand.health;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TrialPacerTest {

    private static final long DELAY = TrialPacer.MIN_DELAY.toNanos();

    private final TrialPacer pacer = new TrialPacer();
    private long now = Duration.ofDays(1).toNanos();

    @Test
    void allowsOneTrialCallAtATime() {
        assertThat(pacer.tryStart(now)).isTrue();
        now += 10 * DELAY;
        assertThat(pacer.tryStart(now)).isFalse();
        pacer.record(Outcome.CANCELLED);
        assertThat(pacer.tryStart(now)).isTrue();
    }

    // Guards against trial calls that cost callers a steady share of their calls while a fault lasts.
    @Test
    void doublesTheDelayWhileTrialCallsFail() {
        int sent = 0;
        for (long end = now + Duration.ofSeconds(10).toNanos(); now < end; now += DELAY / 10) {
            if (pacer.tryStart(now)) {
                sent++;
                pacer.record(Outcome.FAILURE);
            }
        }
        assertThat(sent).isAtMost(3);
    }

    @Test
    void sendsTrialCallsAtLeastEveryTwoSecondsWhileTheySucceed() {
        assertThat(pacer.tryStart(now)).isTrue();
        pacer.record(Outcome.FAILURE);
        now += 2 * DELAY;
        assertThat(pacer.tryStart(now)).isTrue();
        pacer.record(Outcome.SUCCESS);
        now += DELAY;
        assertThat(pacer.tryStart(now)).isTrue();
    }
}
