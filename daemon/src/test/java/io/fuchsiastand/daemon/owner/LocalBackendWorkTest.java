package io.fuchsiastand.daemon.owner;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.board.Scheduling;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.health.Baseline;
import io.fuchsiastand.health.Outcome;
import io.fuchsiastand.time.ManualClock;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class LocalBackendWorkTest {

    private static final WorkKind KIND = new WorkKind("menu", "a", 0);

    private final ManualClock clock = new ManualClock();
    private final LocalBackend backend = new LocalBackend(
            LocalBackend.Announcement.of("a", "menu", "127.0.0.1", 1, 2, 3600),
            new Service("menu", 0, Duration.ofSeconds(5), 10, Detection.CAREFUL, List.of()),
            null,
            clock,
            new Scheduling(true, false, false, false));

    @Test
    void learnsTheWorkOfCallsFromAnswers() {
        run(10, 200, true, Outcome.SUCCESS);
        assertThat(backend.work().estimates().expectedMillis(KIND)).isWithin(1).of(200);
    }

    @Test
    void learnsNothingFromFailuresAndErrors() {
        run(10, 200, true, Outcome.SUCCESS);
        run(10, 1, false, Outcome.SUCCESS);
        run(10, 1, false, Outcome.FAILURE);
        run(10, 1, true, Outcome.CANCELLED);
        assertThat(backend.work().estimates().expectedMillis(KIND)).isWithin(1).of(200);
    }

    @Test
    void isBusyWithTheCallsThatRunAndThoseThatWait() {
        run(10, 200, true, Outcome.SUCCESS);
        assertThat(backend.busyMillis()).isWithin(1).of(100);
        begin();
        begin();
        assertThat(backend.busyMillis()).isWithin(1).of(300);
        Runnable end = backend.work().beginWait(KIND);
        assertThat(backend.busyMillis()).isWithin(1).of(400);
        end.run();
        clock.advance(Duration.ofMillis(150));
        assertThat(backend.busyMillis()).isWithin(1).of(150);
    }

    @Test
    void statesInAnAnswerHowBusyItIsAndWhatACallCosts() {
        HttpHeaders h = DefaultHttpHeadersFactory.INSTANCE.newHeaders();
        CallHeaders.writeWork(backend, KIND, h);
        assertThat(h.get(HeaderNames.COST)).isNull();
        run(10, 200, true, Outcome.SUCCESS);
        CallHeaders.writeWork(backend, KIND, h);
        assertThat(h.get(HeaderNames.COST).toString()).isEqualTo("200");
        assertThat(h.get(HeaderNames.BUSY).toString()).isEqualTo("100");
    }

    @Test
    void aCallCarriesTheUsualCostToTheOwner() {
        StreamingHttpRequest request = new DefaultStreamingHttpRequestResponseFactory(
                        BufferAllocators.DEFAULT_ALLOCATOR,
                        DefaultHttpHeadersFactory.INSTANCE,
                        HttpProtocolVersion.HTTP_1_1)
                .get("/");
        CallHeaders.write(call(request, 0.3), clock);
        assertThat(CallHeaders.read(request, clock).usualCostMillis()).isEqualTo(0.3);
        CallHeaders.write(call(request, 437.8), clock);
        assertThat(CallHeaders.read(request, clock).usualCostMillis()).isEqualTo(438);
    }

    // Guards against responses without end that count as no failure, because a daemon on a busy machine ends them later
    // than
    // the daemon that waits for them.
    @ParameterizedTest
    @CsvSource({"4000, false", "5000, true"})
    void aCallThatIsGivenUpIsAFailureAfterItsDeadline(long millis, boolean isFailure) {
        for (int i = 0; i < 3; i++) {
            LocalBackend.InFlightCall c = begin();
            c.recordResponseHead(true);
            clock.advance(Duration.ofMillis(millis));
            c.endGivenUp();
        }
        assertThat(backend.circuitBreaker().rejectsNonIdempotentCalls(clock.nanoTime()))
                .isEqualTo(isFailure);
    }

    private void run(int calls, long millis, boolean isAnswer, Outcome outcome) {
        for (int i = 0; i < calls; i++) {
            LocalBackend.InFlightCall c = begin();
            clock.advance(Duration.ofMillis(millis));
            c.recordResponseHead(isAnswer);
            c.end(outcome);
        }
    }

    private LocalBackend.InFlightCall begin() {
        BackendCall call = call(null, 0);
        LocalBackend.InFlightCall[] out = new LocalBackend.InFlightCall[1];
        backend.queue().submit("team", call.deadline(), permit -> out[0] = backend.begin(permit, call), code -> {});
        return out[0];
    }

    private BackendCall call(StreamingHttpRequest request, double usualCostMillis) {
        long deadline = clock.nanoTime() + Duration.ofSeconds(5).toNanos();
        return new BackendCall(
                "a",
                "menu",
                "team",
                "",
                false,
                false,
                false,
                false,
                OptionalDouble.empty(),
                0,
                deadline,
                deadline,
                KIND,
                usualCostMillis,
                Baseline.UNKNOWN,
                request);
    }
}
