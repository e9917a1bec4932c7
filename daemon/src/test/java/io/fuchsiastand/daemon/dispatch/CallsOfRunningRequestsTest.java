package io.fuchsiastand.daemon.dispatch;

import java.time.Duration;
import java.util.List;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Idempotency;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.edge.RoutedRequest;
import io.fuchsiastand.retry.RetryBudget;
import io.fuchsiastand.routing.RouteMatch;
import io.fuchsiastand.time.ManualClock;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CallsOfRunningRequestsTest {

    private static final Duration TIME = Duration.ofSeconds(2);

    private final ManualClock clock = new ManualClock();

    private CallAttempts attemptsOf(String team) {
        Route route = Route.of("*", "/a", team.isEmpty(), Idempotency.ALWAYS);
        RouteMatch match = new RouteMatch(new Service("s", 0, TIME, 1, Detection.CAREFUL, List.of(route)), route);
        DefaultStreamingHttpRequestResponseFactory factory = new DefaultStreamingHttpRequestResponseFactory(
                BufferAllocators.DEFAULT_ALLOCATOR, DefaultHttpHeadersFactory.INSTANCE, HttpProtocolVersion.HTTP_1_1);
        long deadline = clock.nanoTime() + TIME.toNanos();
        return new CallAttempts(
                new RoutedRequest(factory.get("/a"), match, team, 0, deadline, deadline),
                "s",
                BufferAllocators.DEFAULT_ALLOCATOR.newBuffer(0),
                new RetryBudget(0, TIME, () -> 0, clock.nanoTime(), clock),
                clock);
    }

    // Guards against requests that fail because one of their calls is refused while there is time to find room.
    @Test
    void aCallOfARunningRequestTriesFurtherOwnersUntilItsDeadline() {
        CallAttempts call = attemptsOf("");
        clock.advance(TIME.multipliedBy(3).dividedBy(4));
        assertThat(call.tryRetry(true, true)).isTrue();
    }

    @Test
    void aRequestOfATeamIsRefusedInTimeForItsCallerToRetry() {
        CallAttempts request = attemptsOf("team");
        assertThat(request.tryRetry(true, true)).isTrue();
        clock.advance(TIME.multipliedBy(3).dividedBy(4));
        assertThat(request.tryRetry(true, true)).isFalse();
    }
}
