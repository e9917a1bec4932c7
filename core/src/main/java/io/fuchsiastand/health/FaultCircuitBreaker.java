package io.fuchsiastand.health;

import java.time.Duration;

/**
 * Circuit breaker for one backend server. It estimates from the results of the last few calls the probability that the
 * backend server is in a faulty phase, and rejects calls while this probability is high. A faulty phase lasts seconds,
 * and most but not all calls fail in it. At a few calls a second, a threshold on the number of failures reacts too
 * late, and one successful call is weak evidence that the phase is over. Therefore each result changes the odds of a
 * faulty phase by its likelihood ratio (Bayes' rule for two states), and with time the odds decay to their base value.
 *
 * <p>Non-idempotent calls are rejected at a lower probability than idempotent calls. Idempotent calls also serve as
 * trial calls that test whether the phase is over. After a trial call is sent, no further one is sent until the end of
 * any call to this backend server is recorded, with or without a result, and the trial delay has passed. As an
 * exception, an idempotent call is always sent if no other backend server is left for it.
 *
 * <p>Thread-safe. All times are monotonic, in nanoseconds.
 */
public final class FaultCircuitBreaker {

    /** How long a call took until it failed. */
    public enum FailureTiming {
        /** The call failed sooner than the backend server can have done the work. */
        QUICK(4.3),
        /** The call failed neither quickly nor after its deadline; the failure may be caused by the call itself. */
        USUAL(0.7),
        /** No answer arrived before the deadline of the call. */
        SILENT(1.0);

        // Natural logarithm of how much more likely such a failure is in a faulty phase than outside of one.
        private final double logRatio;

        FailureTiming(double logRatio) {
            this.logRatio = logRatio;
        }
    }

    /** Time constant of the decay of the odds; of the order of the length of a faulty phase. */
    public static final Duration DECAY_TIME = Duration.ofSeconds(3);
    /**
     * Initial delay from the latest failure or trial call to the next trial call. Each failure recorded while a trial
     * call is in flight doubles the delay; each success sets it back to this value.
     */
    public static final Duration FIRST_TRIAL_DELAY = Duration.ofMillis(400);
    /** Maximum of the delay before a trial call. */
    public static final Duration MAX_TRIAL_DELAY = Duration.ofMillis(1600);

    // Odds are stored as natural logarithms. Without results, the assumed probability of a faulty phase is one in ten.
    private static final double BASE_LOG_ODDS = -2.2;
    private static final double MAX_LOG_ODDS = 4;
    private static final double MIN_LOG_ODDS = -5;
    // Change of the log odds by a successful call.
    private static final double SUCCESS_LOG_RATIO = -1.2;
    // Non-idempotent calls are rejected above the first value (a probability of one in six). Idempotent calls are
    // rejected above the second (one in two), unless they are trial calls or have no other backend server left.
    private static final double MAX_NON_IDEMPOTENT_LOG_ODDS = -1.6;
    private static final double MAX_IDEMPOTENT_LOG_ODDS = 0;

    private double logOdds = BASE_LOG_ODDS;
    private long lastUpdate;
    private boolean trialInFlight;
    private long trialDelayStart;
    private long trialDelayNanos = FIRST_TRIAL_DELAY.toNanos();

    /**
     * Returns whether a call may be sent now. When a call that was sent ends, its result must be recorded with
     * {@link #recordSuccess}, {@link #recordFailure} or {@link #recordNoResult}.
     *
     * @param idempotent whether the call may be sent more than once
     * @param lastResort whether no other backend server is left for the call
     * @param now monotonic time
     * @return false if the call must not be sent now
     */
    public synchronized boolean tryStartCall(boolean idempotent, boolean lastResort, long now) {
        decay(now);
        if (idempotent && lastResort) {
            return true;
        }
        if (logOdds <= (idempotent ? MAX_IDEMPOTENT_LOG_ODDS : MAX_NON_IDEMPOTENT_LOG_ODDS)) {
            return true;
        }
        return idempotent && tryStartTrialCall(now);
    }

    private boolean tryStartTrialCall(long now) {
        if (trialInFlight || now - trialDelayStart < trialDelayNanos) {
            return false;
        }
        trialInFlight = true;
        trialDelayStart = now;
        return true;
    }

    /**
     * Returns whether non-idempotent calls are rejected.
     *
     * @param now monotonic time
     * @return true if the probability of a faulty phase is too high for them
     */
    public synchronized boolean rejectsNonIdempotentCalls(long now) {
        decay(now);
        return logOdds > MAX_NON_IDEMPOTENT_LOG_ODDS;
    }

    /**
     * Records that a call succeeded.
     *
     * @param now monotonic time
     */
    public synchronized void recordSuccess(long now) {
        applyResult(SUCCESS_LOG_RATIO, now);
        trialDelayNanos = FIRST_TRIAL_DELAY.toNanos();
    }

    /** Records that a call ended without evidence about the backend server, such as a cancelled call. */
    public synchronized void recordNoResult() {
        trialInFlight = false;
    }

    /**
     * Records that a call failed.
     *
     * @param timing how long the call took until it failed
     * @param now monotonic time
     */
    public synchronized void recordFailure(FailureTiming timing, long now) {
        if (trialInFlight) {
            trialDelayNanos = Math.min(2 * trialDelayNanos, MAX_TRIAL_DELAY.toNanos());
        }
        applyResult(timing.logRatio, now);
        trialDelayStart = now;
    }

    /**
     * Returns how long the sender of a call that is rejected now should wait before it tries the call again.
     *
     * @param now monotonic time
     * @return the time until the odds have decayed far enough for all calls, but at most twice
     *     {@link #FIRST_TRIAL_DELAY}, after which another trial call may be due; zero if no calls are rejected
     */
    public synchronized Duration retryDelay(long now) {
        decay(now);
        if (logOdds <= MAX_NON_IDEMPOTENT_LOG_ODDS) {
            return Duration.ZERO;
        }
        double seconds = DECAY_TIME.toMillis()
                / 1000.0
                * Math.log((logOdds - BASE_LOG_ODDS) / (MAX_NON_IDEMPOTENT_LOG_ODDS - BASE_LOG_ODDS));
        return Duration.ofMillis((long) Math.min(FIRST_TRIAL_DELAY.toMillis() * 2, seconds * 1000));
    }

    /**
     * Returns the probability that the backend server is in a faulty phase.
     *
     * @param now monotonic time
     * @return from 0 to 1
     */
    public synchronized double faultProbability(long now) {
        decay(now);
        return 1 / (1 + Math.exp(-logOdds));
    }

    private void applyResult(double logRatio, long now) {
        decay(now);
        logOdds = Math.max(MIN_LOG_ODDS, Math.min(MAX_LOG_ODDS, logOdds + logRatio));
        trialInFlight = false;
    }

    private void decay(long now) {
        if (now > lastUpdate) {
            logOdds = BASE_LOG_ODDS
                    + (logOdds - BASE_LOG_ODDS) * Math.exp(-(now - lastUpdate) / (double) DECAY_TIME.toNanos());
            lastUpdate = now;
        }
    }
}
