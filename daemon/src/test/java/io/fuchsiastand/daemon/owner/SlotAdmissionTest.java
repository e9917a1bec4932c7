package io.fuchsiastand.daemon.owner;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;

import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.admission.RequestAdmission;
import io.fuchsiastand.daemon.board.Scheduling;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.health.Baseline;
import io.fuchsiastand.queue.FairQueue;
import io.fuchsiastand.time.ManualClock;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests calls to a backend server with one slot, whose calls take 1 s, while another call has just started. */
class SlotAdmissionTest {

    private static final Duration CALL_TIME = Duration.ofSeconds(1);

    private final ManualClock clock = new ManualClock();
    private final Metrics metrics = new Metrics();
    private final LocalBackend backend = new LocalBackend(
            LocalBackend.Announcement.of("1", "menu", "127.0.0.1", 7501, 1, 10),
            new Service("menu", 0, Duration.ofSeconds(10), 16, Detection.CAREFUL, List.of()),
            null,
            clock,
            new Scheduling(false, true, false, false));
    private final SlotAdmission slots = new SlotAdmission(
            clock,
            HeaderConventions.DEFAULT,
            new RequestLog(clock),
            metrics,
            new RequestAdmission(false, clock, HeaderConventions.DEFAULT, new RequestLog(clock), metrics),
            Executors.global(),
            new Random(1),
            Long.MAX_VALUE);

    @Test
    void callThatCanGoElsewhereIsRefusedAtOnceAndWaitsIfNoOtherBackendServerIsLeft() throws Exception {
        FairQueue.Permit running = occupySlot();
        RefusalException refusal = refusalOf(acquire(Duration.ofSeconds(3), false));
        assertThat(refusal.code()).isEqualTo(ErrorCode.QUEUE_FULL);
        assertThat(refusal.isNotRun()).isTrue();
        assertThat(refusal.retryAfterMillis()).isAtLeast(CALL_TIME.toMillis());
        assertThat(refusal.retryAfterMillis()).isAtMost(CALL_TIME.toMillis() * 3 / 2);

        Future<FairQueue.Permit> waiting = acquire(Duration.ofSeconds(3), true);
        assertThat(waiting.isDone()).isFalse();
        clock.advance(CALL_TIME);
        running.release();
        waiting.get().release();
        assertThat(metrics.scrape()).contains("fuchsiastand_queue_refusals_total{code=\"FS-5031\",priority=\"2\"} 1.0");
        assertThat(metrics.scrape()).contains("fuchsiastand_queue_wait_seconds_count{priority=\"2\"} 3");
    }

    @Test
    void callThatCannotFinishByItsDeadlineIsRefusedAtOnceAlsoAsLastResort() throws Exception {
        occupySlot();
        RefusalException refusal = refusalOf(acquire(Duration.ofMillis(1900), true));
        assertThat(refusal.code()).isEqualTo(ErrorCode.DEADLINE_NOT_RUN);
        assertThat(refusal.isNotRun()).isTrue();
    }

    // Teaches the queue the time of a call, and starts another one.
    private FairQueue.Permit occupySlot() throws Exception {
        FairQueue.Permit first = acquire(Duration.ofSeconds(9), false).get();
        clock.advance(CALL_TIME);
        first.release();
        return acquire(Duration.ofSeconds(9), false).get();
    }

    private static RefusalException refusalOf(Future<FairQueue.Permit> call) {
        return (RefusalException)
                assertThrows(ExecutionException.class, call::get).getCause();
    }

    private Future<FairQueue.Permit> acquire(Duration timeout, boolean lastResort) {
        long deadline = clock.nanoTime() + timeout.toNanos();
        BackendCall call = new BackendCall(
                "1",
                "menu",
                "zermatt",
                "",
                false,
                false,
                lastResort,
                false,
                OptionalDouble.empty(),
                2,
                deadline,
                deadline,
                new WorkKind("menu", "", 0),
                0,
                Baseline.UNKNOWN,
                new DefaultStreamingHttpRequestResponseFactory(
                                BufferAllocators.DEFAULT_ALLOCATOR,
                                DefaultHttpHeadersFactory.INSTANCE,
                                HttpProtocolVersion.HTTP_1_1)
                        .post("/menu"));
        return slots.acquire(backend, call).toFuture();
    }
}
