package io.fuchsiastand.health;

import java.time.Duration;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.routing.BackendState;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendHealthTest {

    private static final Baseline BASELINE = new Baseline(0, 1_000);
    private static final int TRIAL_CALLS = 12;

    private long now = Duration.ofDays(1).toNanos();
    private final BackendHealth health = new BackendHealth(Detection.CAREFUL, now);

    // Guards against a backend server that stays ejected although its fault has ended, while others have no slots
    // (FLOOR).
    @Test
    void endsAnEjectionWhenTrialCallsShowThatTheFaultHasEnded() {
        endRampUp();
        while (health.state() != BackendState.EJECTED) {
            call(Outcome.FAILURE, 5);
        }
        long ejectedAt = now;
        for (int i = 0; i < TRIAL_CALLS; i++) {
            call(Outcome.SUCCESS, 100);
        }
        assertThat(now - ejectedAt).isLessThan(BackendHealth.FIRST_EJECTION_TIME.toNanos());
        assertThat(health.state()).isEqualTo(BackendState.STARTING);
    }

    @Test
    void endsAnEjectionForSlownessWhenCallsAreFastAgain() {
        endRampUp();
        while (health.state() != BackendState.EJECTED) {
            call(Outcome.SUCCESS, 5_000);
        }
        for (int i = 0; i < TRIAL_CALLS; i++) {
            call(Outcome.SUCCESS, 100);
        }
        assertThat(health.state()).isEqualTo(BackendState.STARTING);
    }

    @Test
    void keepsABackendServerEjectedWhileTrialCallsFail() {
        endRampUp();
        while (health.state() != BackendState.EJECTED) {
            call(Outcome.FAILURE, 5);
        }
        for (int i = 0; i < TRIAL_CALLS; i++) {
            call(i % 3 == 0 ? Outcome.FAILURE : Outcome.SUCCESS, 100);
        }
        assertThat(health.state()).isEqualTo(BackendState.EJECTED);
    }

    @Test
    void keepsABackendServerEjectedThatIsStillSlow() {
        endRampUp();
        while (health.state() != BackendState.EJECTED) {
            call(Outcome.SUCCESS, 5_000);
        }
        for (int i = 0; i < TRIAL_CALLS; i++) {
            call(Outcome.SUCCESS, i % 3 == 0 ? 5_000 : 100);
        }
        assertThat(health.state()).isEqualTo(BackendState.EJECTED);
    }

    // Twelve calls without a failure are likely for a backend server that fails one call in ten.
    @Test
    void keepsABackendServerEjectedThatFailsFewCallsWhenAFewSucceed() {
        endRampUp();
        for (int i = 1; health.state() != BackendState.EJECTED; i++) {
            call(i % 10 == 0 ? Outcome.FAILURE : Outcome.SUCCESS, 100);
        }
        for (int i = 0; i < TRIAL_CALLS; i++) {
            call(Outcome.SUCCESS, 100);
        }
        assertThat(health.state()).isEqualTo(BackendState.EJECTED);
    }

    private void endRampUp() {
        now += BackendHealth.RAMP_UP_TIME.toNanos();
        health.applyDueChanges(now);
        assertThat(health.state()).isEqualTo(BackendState.SERVING);
    }

    private void call(Outcome outcome, double millis) {
        now += Duration.ofMillis(500).toNanos();
        health.observe(outcome, millis, BASELINE, now);
    }
}
