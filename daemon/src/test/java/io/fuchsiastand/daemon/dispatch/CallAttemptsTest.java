package io.fuchsiastand.daemon.dispatch;

import java.time.Duration;
import java.util.List;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Idempotency;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.edge.RoutedRequest;
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.routing.Candidate;
import io.fuchsiastand.routing.RouteMatch;
import io.fuchsiastand.time.ManualClock;
import io.fuchsiastand.work.ServiceWork;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests where a non-idempotent request goes whose deadline is in 6 s. */
class CallAttemptsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(6);

    private final ManualClock clock = new ManualClock();
    private final CallAttempts attempts = newAttempts(Idempotency.NEVER);

    // Load pattern: burst over the room of a service with few backend servers.
    @Test
    void waitsAtTheShortestQueueWhenThreeQueuesAreFull() {
        attempts.recordQueueFull(candidate("a"), 1700);
        attempts.recordQueueFull(candidate("b"), 1600);
        assertThat(attempts.hasAskedEnough()).isFalse();
        attempts.recordQueueFull(candidate("c"), 1800);
        assertThat(attempts.hasAskedEnough()).isTrue();
        clock.advance(Duration.ofSeconds(4));
        assertThat(attempts.tryRetry(true, true)).isTrue();
        assertThat(attempts.takeLastResort().orElseThrow().host()).isEqualTo("b");
        assertThat(attempts.lastResort).isTrue();
        assertThat(attempts.waitsAtShortestQueue).isTrue();

        assertThat(attempts.tryRetry(true, true)).isFalse();
        assertThat(attempts.takeLastResort()).isEmpty();
    }

    @Test
    void doesNotWaitWhereNoSlotIsExpectedBeforeTheDeadline() {
        attempts.recordQueueFull(candidate("a"), 6000);
        assertThat(attempts.takeLastResort()).isEmpty();
    }

    @Test
    void anIdempotentRequestThatEachCircuitBreakerRejectsWaitsAtNoQueue() {
        CallAttempts a = newAttempts(Idempotency.ALWAYS);
        a.recordFaultProbability(candidate("a"), 0.6);
        a.recordFaultProbability(candidate("b"), 0.7);
        assertThat(a.takeLastResort().orElseThrow().host()).isEqualTo("a");
        assertThat(a.lastResort).isTrue();
        assertThat(a.waitsAtShortestQueue).isFalse();
    }

    private CallAttempts newAttempts(Idempotency idempotency) {
        Route route = Route.of("*", "/menu", false, idempotency);
        Service service = new Service("menu", 0, TIMEOUT, 16, Detection.CAREFUL, List.of(route));
        RoutedRequest routed = new RoutedRequest(
                new DefaultStreamingHttpRequestResponseFactory(
                                BufferAllocators.DEFAULT_ALLOCATOR,
                                DefaultHttpHeadersFactory.INSTANCE,
                                HttpProtocolVersion.HTTP_1_1)
                        .post("/menu"),
                new RouteMatch(service, route),
                "zermatt",
                0,
                clock.nanoTime() + TIMEOUT.toNanos(),
                clock.nanoTime() + TIMEOUT.toNanos());
        return new CallAttempts(routed, "menu", BufferAllocators.DEFAULT_ALLOCATOR.newBuffer(0), null, clock);
    }

    private static Candidate candidate(String host) {
        return new Candidate(
                host, new BackendServer("1", "menu", 7, BackendState.SERVING, 1, 0, 1), new ServiceWork(), 0);
    }
}
