package io.fuchsiastand.daemon.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.fuchsiastand.daemon.edge.RoutedRequest;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.http.RequestCheck;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.retry.RetryBudget;
import io.fuchsiastand.routing.Candidate;
import io.fuchsiastand.routing.ServiceDirectory;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.buffer.api.Buffer;

/** A request and the results of its attempts so far. */
final class CallAttempts {

    // After this number of attempts for one request, only one at the last resort candidate may follow. When a
    // request needs many, most of them are refused at once by the daemon of the candidate's host and reach no backend
    // server.
    static final int ATTEMPT_LIMIT = 8;

    // After this number of candidates whose queues would let the call wait too long, it waits at the best of them. More
    // candidates add little to the choice (the power of d choices).
    private static final int MAX_QUEUES_ASKED = 3;

    private static final long NANOS_PER_MILLI = 1_000_000;

    final RoutedRequest routed;
    final String service;
    final RetryBudget budget;
    final Set<Candidate> tried = new HashSet<>();
    private final Clock clock;
    final long startNanos;
    final WorkKind kind;
    // The buffered body; null if the body is a stream, which can be sent only once.
    final Buffer body;
    boolean bodyUsed;
    // The refusal of the last attempt in which this daemon refused the request itself or could not reach another
    // daemon, so that no backend server received the request. The caller receives this refusal if no candidate is
    // left. Refusals by other daemons are not stored.
    RefusalException lastRefusal;
    // Of the candidates whose circuit breaker rejected the request, the one with the lowest probability of a fault.
    private Candidate lastResortCandidate;
    private double minFaultProbability = 1;
    // Of the candidates whose queues would let the request wait too long, the one with the shortest expected wait.
    private Candidate shortestQueue;
    private long shortestQueueMillis;
    private int queuesAsked;
    // Whether no other candidate is left: the request is sent to the last resort candidate, regardless of its circuit
    // breaker, or it waits at the shortest queue.
    boolean lastResort;
    boolean waitsAtShortestQueue;
    // The usual cost of the call when the current attempt started, in milliseconds of slot time; 0 if it is unknown, or
    // if candidates are chosen by the number of calls.
    double usualMillis;
    // Whether the current attempt is a trial call to a backend server that is out of rotation.
    boolean trial;
    // The shortest time, in milliseconds, until a backend server takes a call that its daemon refused; 0 if unknown.
    private long minWaitMillis;
    private boolean rateLimited;
    // Number of failed attempts that may have reached a backend server.
    int failedSends;
    boolean mayHaveRun;
    // Whether the last attempt could have been followed by another one if the retry budget had allowed it.
    boolean budgetExhausted;
    // Number of attempts, also those that did not reach a backend server.
    int attempts;

    CallAttempts(RoutedRequest routed, String service, Buffer body, RetryBudget budget, Clock clock) {
        this.routed = routed;
        this.service = service;
        this.body = body;
        this.budget = budget;
        this.clock = clock;
        startNanos = clock.nanoTime();
        long bodyBytes = RequestCheck.hasBody(routed.request()) ? RequestCheck.bodyLength(routed.request()) : 0;
        kind = WorkKind.of(service, routed.match().route(), bodyBytes);
    }

    boolean isOverdue() {
        return clock.nanoTime() - routed.deadline() >= 0;
    }

    // After an attempt that reached no backend server, another attempt starts only in the first half of the time
    // until the deadline, so that the caller of a refused request has time to retry. A part of another request may
    // use all of that time, since the other request fails if this one is refused.
    private boolean hasTimeForAnotherOwner() {
        if (routed.isPartOfRequest()) {
            return true;
        }
        long now = clock.nanoTime();
        return now - startNanos < (routed.deadline() - startNanos) / 2;
    }

    void recordFaultProbability(Candidate c, double faultProbability) {
        if (faultProbability < minFaultProbability) {
            lastResortCandidate = c;
            minFaultProbability = faultProbability;
        }
    }

    // Records that a request would wait too long for a slot of a candidate.
    void recordQueueFull(Candidate c, long waitMillis) {
        queuesAsked++;
        if (shortestQueue == null || waitMillis < shortestQueueMillis) {
            shortestQueue = c;
            shortestQueueMillis = waitMillis;
        }
    }

    boolean hasAskedEnough() {
        return attempts > ATTEMPT_LIMIT || queuesAsked >= MAX_QUEUES_ASKED;
    }

    // Whether the request can still wait at the candidate with the shortest queue.
    private boolean canWait() {
        return shortestQueue != null
                && !lastResort
                && clock.nanoTime() + shortestQueueMillis * NANOS_PER_MILLI - routed.deadline() < 0;
    }

    // Records a refusal by the daemon of a candidate's host.
    void recordRefusal(long waitMillis, boolean isRateLimited) {
        rateLimited |= isRateLimited;
        recordWait(waitMillis);
    }

    private void recordWait(long millis) {
        if (millis > 0 && (minWaitMillis == 0 || millis < minWaitMillis)) {
            minWaitMillis = millis;
        }
    }

    // The refusal that the caller receives if no candidate is left.
    RefusalException finalRefusal(long defaultRetryAfterMillis) {
        if (lastRefusal != null) {
            return withShortestWait(lastRefusal);
        }
        ErrorCode code = rateLimited ? ErrorCode.BACKEND_RATE_LIMITED : ErrorCode.NO_BACKEND;
        return withShortestWait(RefusalException.notSent(code, code.title(), defaultRetryAfterMillis));
    }

    RefusalException withShortestWait(RefusalException r) {
        return r.isNotSent() ? r.withRetryAfterMillis(retryAfterMillis(r.retryAfterMillis())) : r;
    }

    // Time after which one of the candidates that refused the request takes it.
    long retryAfterMillis(long fallbackMillis) {
        return minWaitMillis > 0 ? minWaitMillis : fallbackMillis;
    }

    // An idempotent request is sent to a backend server with a probable fault rather than refused. A non-idempotent
    // request is refused, because it must not be sent again if it fails.
    private boolean hasLastResort() {
        return routed.isIdempotent() && lastResortCandidate != null && !lastResort;
    }

    // Mean utilisation of the backend servers of the own data centre at which the call may go to another one.
    double maxLocalUtilisation() {
        return ServiceDirectory.maxLocalUtilisation(body == null ? Long.MAX_VALUE : body.readableBytes());
    }

    // Only a call that can be sent again if it fails serves as a trial call, and only at its first attempt.
    boolean mayTry() {
        return attempts == 1 && routed.isIdempotent() && body != null;
    }

    Optional<Candidate> takeLastResort() {
        if (canWait()) {
            lastResort = true;
            waitsAtShortestQueue = true;
            return Optional.of(shortestQueue);
        }
        if (!hasLastResort()) {
            return Optional.empty();
        }
        lastResort = true;
        return Optional.of(lastResortCandidate);
    }

    // Logs why the request goes to a candidate that no other one is preferred to.
    void logLastResort(RequestLog log, CharSequence requestId, Candidate c) {
        String server = c.server().id();
        if (waitsAtShortestQueue) {
            log.write("shortest queue", requestId, "server", server, "wait ms", shortestQueueMillis);
        } else {
            log.write("last resort", requestId, "server", server, "suspicion", minFaultProbability);
        }
    }

    // The answer to a request that was refused after an attempt that failed at a backend server.
    static RefusalException failedBefore(String lastRefusal, Throwable cause) {
        return RefusalException.mayHaveRun(
                ErrorCode.BACKEND_FAILED,
                "a backend server failed; then the request was refused: " + lastRefusal,
                cause);
    }

    // Returns whether another attempt is allowed. If the failed attempt was sent to a backend server, adds it to
    // failedSends and, if another one is allowed, takes a retry from the budget. If it was not sent, the next one
    // is no retry for the service: failedSends and the budget do not change.
    boolean tryRetry(boolean notRun, boolean notSent) {
        boolean replayable = body != null || !bodyUsed;
        if (!replayable) {
            return false;
        }
        if (notSent) {
            return canWait() || (hasTimeForAnotherOwner() && (attempts < ATTEMPT_LIMIT || hasLastResort()));
        }
        if (attempts >= ATTEMPT_LIMIT) {
            return false;
        }
        failedSends++;
        mayHaveRun |= !notRun;
        return (notRun || routed.isIdempotent())
                && failedSends < routed.match().route().policy().mostAttempts()
                && tryRetryWithinBudget();
    }

    private boolean tryRetryWithinBudget() {
        boolean allowed = budget.tryRetry();
        budgetExhausted = !allowed;
        return allowed;
    }
}
