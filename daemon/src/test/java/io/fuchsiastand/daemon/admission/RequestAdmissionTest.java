package io.fuchsiastand.daemon.admission;

import java.util.OptionalDouble;

import io.fuchsiastand.admission.RoomMeter;
import io.fuchsiastand.config.Idempotency;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.daemon.edge.RoutedRequest;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.daemon.owner.BackendCall;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.health.Baseline;
import io.fuchsiastand.routing.RouteMatch;
import io.fuchsiastand.time.ManualClock;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RequestAdmissionTest {

    private static final Route OPEN = Route.of("*", "/next/", true, Idempotency.ALWAYS);
    private static final WorkKind KIND = new WorkKind("first", "abc", 0);
    private static final int CALLS = 40;

    private final ManualClock clock = new ManualClock();
    private final Metrics metrics = new Metrics();
    private final DefaultStreamingHttpRequestResponseFactory factory = new DefaultStreamingHttpRequestResponseFactory(
            BufferAllocators.DEFAULT_ALLOCATOR, DefaultHttpHeadersFactory.INSTANCE, HttpProtocolVersion.HTTP_1_1);

    private RequestAdmission admission(boolean enabled) {
        return new RequestAdmission(enabled, clock, HeaderConventions.DEFAULT, new RequestLog(clock), metrics);
    }

    private BackendCall call(String team, boolean retry) {
        long deadline = clock.nanoTime() + 1_000_000_000L;
        return new BackendCall(
                "b",
                "first",
                team,
                "",
                true,
                retry,
                false,
                false,
                OptionalDouble.empty(),
                1,
                deadline,
                deadline,
                KIND,
                0,
                Baseline.UNKNOWN,
                factory.get("/"));
    }

    // Each request makes one call, which is refused as not run.
    private void runRequestsWhoseCallsAreRefused(RequestAdmission admission) throws Exception {
        for (int i = 0; i < CALLS; i++) {
            StreamingHttpRequest next = factory.get("/next/");
            RoutedRequest out = new RoutedRequest(next, new RouteMatch(null, OPEN), "", 0, 0, 0);
            RefusalException noSlot = RefusalException.notSent(ErrorCode.QUEUE_FULL, "", 0);
            Single<StreamingHttpResponse> running = Single.defer(() -> admission
                    .followOutgoing(out, "second", Single.failed(noSlot))
                    .onErrorReturn(e -> factory.ok()));
            admission.follow(call("team", false), running).toFuture().get();
            HttpHeaders answer = factory.ok().headers().set(HeaderNames.REFUSED_SHARES, "-1=0.90");
            admission.hear("second", "server", answer);
        }
    }

    private int refused(RequestAdmission admission, String team, boolean retry) {
        int refused = 0;
        for (int i = 0; i < CALLS; i++) {
            try {
                admission.check(call(team, retry));
            } catch (RefusalException e) {
                assertThat(e.isNotRun()).isTrue();
                assertThat(e.retryAfterMillis()).isAtLeast(500);
                refused++;
            }
        }
        return refused;
    }

    @Test
    void refusesOnlyNewRequestsOfTeamsWhenTheirCallsAreRefused() throws Exception {
        RequestAdmission admission = admission(true);
        assertThat(refused(admission, "team", false)).isEqualTo(0);
        runRequestsWhoseCallsAreRefused(admission);
        assertThat(refused(admission, "team", false)).isGreaterThan(CALLS / 4);
        assertThat(refused(admission, "", false)).isEqualTo(0);
        assertThat(refused(admission, "team", true)).isEqualTo(0);
        assertThat(metrics.scrape()).contains("fuchsiastand_refused_before_start_total{service=\"first\"}");
    }

    @Test
    void hasNoEffectUnlessItIsSwitchedOn() throws Exception {
        RequestAdmission admission = admission(false);
        runRequestsWhoseCallsAreRefused(admission);
        assertThat(refused(admission, "team", false)).isEqualTo(0);
    }

    @Test
    void publishesTheRoomOfABackendServerInAnswers() {
        RequestAdmission admission = admission(true);
        RoomMeter meter = new RoomMeter(clock);
        HttpHeaders h = factory.ok().headers();
        admission.writeRoom(meter, h);
        assertThat(h.contains(HeaderNames.REFUSED_SHARES)).isFalse();
        RefusalException noSlot = RefusalException.notSent(ErrorCode.QUEUE_FULL, "", 0);
        for (int i = 0; i < CALLS; i++) {
            admission
                    .measureRoom(call("team", false), meter, Single.failed(noSlot))
                    .onErrorReturn(e -> "")
                    .toFuture();
        }
        admission.writeRoom(meter, h);
        assertThat(h.get(HeaderNames.REFUSED_SHARES).toString()).isEqualTo("1=0.95");
    }
}
