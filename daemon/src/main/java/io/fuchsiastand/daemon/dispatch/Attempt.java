package io.fuchsiastand.daemon.dispatch;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import io.fuchsiastand.routing.Candidate;
import io.fuchsiastand.time.Clock;

/** One attempt to send a request to a candidate. Reports its end to the candidate once. */
final class Attempt {
    private final Candidate candidate;
    private final boolean trial;
    private final Clock clock;
    private final long startNanos;
    private final AtomicBoolean ended = new AtomicBoolean();

    Attempt(Candidate candidate, boolean trial, Clock clock) {
        this.candidate = candidate;
        this.trial = trial;
        this.clock = clock;
        startNanos = clock.nanoTime();
    }

    Candidate candidate() {
        return candidate;
    }

    void recordTrial(boolean accepted) {
        if (trial) {
            candidate.recordTrial(accepted);
        }
    }

    void endWithoutResult() {
        if (ended.compareAndSet(false, true)) {
            candidate.endWithoutResult();
        }
    }

    void endUnreachable() {
        if (ended.compareAndSet(false, true)) {
            candidate.endConnectionFailed(clock);
        }
    }

    // A failed attempt is often short, so its duration must not count as latency of the backend server.
    void endFailed(int load) {
        if (ended.compareAndSet(false, true)) {
            candidate.endFailed(clock, load);
        }
    }

    void endRateLimited(long waitMillis) {
        if (ended.compareAndSet(false, true)) {
            candidate.endRateLimited(clock, Duration.ofMillis(waitMillis));
        }
    }

    void end(int load) {
        if (ended.compareAndSet(false, true)) {
            candidate.recordAnswer(clock, Duration.ofNanos(clock.nanoTime() - startNanos), load);
        }
    }
}
