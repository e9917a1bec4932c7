package io.fuchsiastand.admission;

import java.time.Duration;

import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CallGraphTest {

    private final ManualClock clock = new ManualClock();
    private final CallGraph graph = new CallGraph(clock);

    private CallGraph.Request begin(String route, double seconds) {
        return graph.begin(route, clock.nanoTime() + (long) (seconds * 1e9));
    }

    @Test
    void tiesACallToTheRequestWithItsDeadline() {
        for (int i = 0; i < 50; i++) {
            begin("caller", 3);
            begin("other", 4.05);
            graph.recordCall("next", clock.nanoTime() + Duration.ofSeconds(3).toNanos());
            clock.advance(Duration.ofMillis(100));
        }
        assertThat(graph.expectedCalls("caller").get("next")).isWithin(0.1).of(1);
        assertThat(graph.expectedCalls("other")).isEmpty();
    }

    @Test
    void learnsFromRatesWhichRouteCallsWhenDeadlinesDoNotTell() {
        for (int i = 0; i < 400; i++) {
            CallGraph.Request other = begin("other", 4);
            if (i % 2 == 0) {
                CallGraph.Request caller = begin("caller", 3);
                graph.recordCall("next", clock.nanoTime());
                graph.end(caller);
            }
            graph.end(other);
            clock.advance(Duration.ofMillis(100));
        }
        assertThat(graph.expectedCalls("caller").get("next")).isGreaterThan(0.7);
        assertThat(graph.expectedCalls("other").get("next")).isLessThan(0.2);
    }

    @Test
    void ignoresCallsWithoutRunningRequests() {
        graph.end(begin("caller", 3));
        graph.recordCall("next", clock.nanoTime());
        assertThat(graph.expectedCalls("caller")).isEmpty();
    }

    @Test
    void forgetsRequestsWhoseEndIsNotReported() {
        begin("lost", 1);
        clock.advance(Duration.ofSeconds(2));
        begin("caller", 3);
        graph.recordCall("next", clock.nanoTime());
        assertThat(graph.expectedCalls("lost")).isEmpty();
    }

    @Test
    void isBoundedInRoutesAndServices() {
        for (int i = 0; i < 10 * CallGraph.MAX_ROUTES; i++) {
            begin("route" + i, 3);
            graph.recordCall("service" + i, clock.nanoTime());
        }
        assertThat(graph.expectedCalls("route" + (CallGraph.MAX_ROUTES + 1))).isEmpty();
        assertThat(graph.expectedCalls("route0").size()).isAtMost(CallGraph.MAX_SERVICES);
    }
}
