package io.fuchsiastand.daemon;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.fuchsiastand.standin.BackendFaults;
import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests the calls to backend servers that name a rate limit in their responses. */
class RateLimitedBackendServerTest {

    // The rule on rate limits: from 3 s after a limit was named first, a backend server gets in no 4 s more than one
    // and a
    // half times what it allows, and 5 calls.
    private static final Duration GRACE = Duration.ofSeconds(3);
    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration OBSERVED_TIME = Duration.ofSeconds(8);
    private static final int SERVED = 200;
    private static final int REFUSED = 503;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
        callers.shutdownNow();
    }

    // Guards against a backend server that gets more calls than the limit it names (LIMIT).
    @Test
    void getsNoMoreCallsThanItsRateLimitAllows() throws Exception {
        BackendServerStandin limited = fleet.startBackend(0, "limited", "menu");
        fleet.startBackend(1, "other", "menu");
        limited.setRateLimit(OptionalDouble.of(2));
        long named = System.nanoTime();
        List<Integer> statuses = callBothDaemons(OBSERVED_TIME);
        assertCallsWithin(2, limited, named);
        assertThat(statuses).doesNotContain(REFUSED);
        assertThat(limited.callCount()).isAtLeast(8);
    }

    // Guards against calls that were turned away by one limited backend server and exceed the limit of the next
    // (LIMIT).
    @Test
    void getsNoMoreCallsThanItsRateLimitAllowsWhenAllOfTheServiceNameLimits() throws Exception {
        List<BackendServerStandin> limited = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            limited.add(fleet.startBackend(i % 2, "limited" + i, "menu"));
            limited.get(i).setRateLimit(OptionalDouble.of(1 + i));
        }
        long named = System.nanoTime();
        callBothDaemons(OBSERVED_TIME);
        for (int i = 0; i < 3; i++) {
            assertCallsWithin(1 + i, limited.get(i), named);
        }
    }

    // Guards against an old limit that stays in force after a lower one was named (LIMIT), and against one that stays
    // in force
    // after it was raised or withdrawn.
    @Test
    void followsALimitThatIsLoweredRaisedAndWithdrawn() throws Exception {
        BackendServerStandin limited = fleet.startBackend(0, "limited", "menu");
        limited.setRateLimit(OptionalDouble.of(20));
        callBothDaemons(Duration.ofSeconds(2));
        limited.setRateLimit(OptionalDouble.of(1));
        long lowered = System.nanoTime();
        callBothDaemons(OBSERVED_TIME);
        assertCallsWithin(1, limited, lowered);

        limited.setRateLimit(OptionalDouble.of(20));
        callBothDaemons(Duration.ofSeconds(2));
        long before = limited.callCount();
        callBothDaemons(Duration.ofSeconds(2));
        assertThat(limited.callCount() - before).isAtLeast(30);

        limited.setRateLimit(OptionalDouble.empty());
        callBothDaemons(Duration.ofSeconds(1));
        assertThat(callBothDaemons(Duration.ofSeconds(1))).doesNotContain(REFUSED);
    }

    // Guards against a limit that the daemon of the host forgets when it restarts (LIMIT).
    @Test
    void getsNoMoreCallsThanItsRateLimitAllowsWhenTheDaemonOfItsHostRestarts() throws Exception {
        BackendServerStandin limited = fleet.startBackend(0, "limited", "menu", 32);
        limited.setRateLimit(OptionalDouble.of(1));
        limited.setFaults(BackendFaults.slow(300));
        long named = System.nanoTime();
        callBothDaemons(GRACE);
        for (int i = 0; i < 2; i++) {
            fleet.daemons.get(0).close();
            fleet.restart(0);
            long callsBefore = limited.callCount();
            Fleet.await("the backend server gets a call again", () -> {
                callConcurrently(32);
                return limited.callCount() > callsBefore;
            });
        }
        assertCallsWithin(1, limited, named);
    }

    // Guards against refusals that come late or whose Retry-After is not true.
    @Test
    void refusesACallAtOnceAndServesItAfterTheRetryAfter() throws Exception {
        BackendServerStandin limited = fleet.startBackend(0, "limited", "menu");
        limited.setRateLimit(OptionalDouble.of(0.5));
        Fleet.await("the limit is known", () -> callOnce(1).statusCode() == REFUSED);
        for (int i = 0; i < 3; i++) {
            long start = System.nanoTime();
            HttpResponse<String> refused = callOnce(1);
            assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofMillis(500));
            assertThat(refused.statusCode()).isEqualTo(REFUSED);
            assertThat(refused.headers().firstValue("fuchsiastand-run-state")).hasValue("not-run");
            assertThat(refused.body()).contains("FS-5042");
            long retryAfter = refused.headers().firstValueAsLong("retry-after").orElseThrow();
            assertThat(retryAfter).isAtMost(2);
            Thread.sleep(Duration.ofSeconds(retryAfter).toMillis());
            assertThat(callOnce(1).statusCode()).isEqualTo(SERVED);
        }
    }

    // The windows begin at the end of the grace time.
    private static void assertCallsWithin(double limit, BackendServerStandin server, long namedAt) {
        List<Long> calls = server.callTimes().stream()
                .filter(t -> t - namedAt >= GRACE.toNanos())
                .toList();
        int most = 0;
        for (long start : calls) {
            int count = (int) calls.stream()
                    .filter(t -> t >= start && t - start < WINDOW.toNanos())
                    .count();
            most = Math.max(most, count);
        }
        assertWithMessage("calls in 4 s").that((double) most).isAtMost(1.5 * limit * WINDOW.toSeconds() + 5);
    }

    private List<Integer> callBothDaemons(Duration time) throws Exception {
        CompletableFuture<List<Integer>> first = CompletableFuture.supplyAsync(() -> callDaemon(0, time));
        List<Integer> out = new ArrayList<>(callDaemon(1, time));
        out.addAll(first.get());
        return out;
    }

    private void callConcurrently(int calls) {
        List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            all.add(CompletableFuture.supplyAsync(() -> callOnce(1), callers));
        }
        all.forEach(CompletableFuture::join);
    }

    private List<Integer> callDaemon(int daemon, Duration time) {
        List<Integer> statuses = new ArrayList<>();
        long end = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < end) {
            statuses.add(callOnce(daemon).statusCode());
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        return statuses;
    }

    // Open routes need no tokens, so that only the limits of backend servers matter.
    private HttpResponse<String> callOnce(int daemon) {
        try {
            return fleet.get(daemon, "/open", null);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
