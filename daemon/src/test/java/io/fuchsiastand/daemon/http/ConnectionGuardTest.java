package io.fuchsiastand.daemon.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.fuchsiastand.config.RequestLimits;
import io.fuchsiastand.time.ManualClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the timeouts for slow and idle callers, with a manual clock, and the refusal of ambiguous framing. */
class ConnectionGuardTest {

    private static final RequestLimits LIMITS =
            new RequestLimits(16_384, 1L << 20, Duration.ofSeconds(2), Duration.ofSeconds(10));
    private static final String REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

    private final ManualClock clock = new ManualClock();
    private final ConnectionGuard guard = new ConnectionGuard(() -> LIMITS, clock);
    private final EmbeddedChannel channel = new EmbeddedChannel();

    ConnectionGuardTest() {
        channel.freezeTime();
        channel.pipeline().addFirst(guard);
    }

    @Test
    void closesAConnectionThatStaysIdle() {
        advance(Duration.ofMillis(9_900));
        assertThat(channel.isOpen()).isTrue();
        advance(Duration.ofMillis(200));
        assertThat(channel.isOpen()).isFalse();
        assertThat(written()).isEmpty();
    }

    // Guards against closed connections that a scheduled check keeps in memory, with the bodies of their requests.
    @Test
    void schedulesNothingForAConnectionThatHasEnded() {
        for (int i = 0; i < 2; i++) {
            send("GET / HTTP/1.1\r\n");
            send("host: a\r\n\r\n");
            guard.beginRequest(false);
            guard.endResponse();
        }
        channel.pipeline().fireChannelInactive();
        assertThat(channel.runScheduledPendingTasks()).isEqualTo(-1);
    }

    @Test
    void countsIdleTimeFromTheEndOfTheLastResponse() {
        advance(Duration.ofSeconds(6));
        send(REQUEST);
        guard.beginRequest(false);
        advance(Duration.ofSeconds(6));
        guard.endResponse();
        advance(Duration.ofSeconds(8));
        assertThat(channel.isOpen()).isTrue();
        advance(Duration.ofSeconds(3));
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void keepsAConnectionOpenWhileARequestIsHandled() {
        send(REQUEST);
        guard.beginRequest(false);
        advance(Duration.ofMinutes(5));
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void sendsStatus408WhenTheHeaderFieldsTakeTooLong() {
        send("GET / HTTP/1.1\r\nhost: a\r\n");
        advance(Duration.ofMillis(1_900));
        send("x-slow: 1\r\n");
        assertThat(channel.isOpen()).isTrue();
        advance(Duration.ofMillis(200));
        String response = written();
        assertThat(response).startsWith("HTTP/1.1 408 ");
        assertThat(response).contains("fuchsiastand-run-state: not-run");
        assertThat(response).contains("FS-4080");
        assertThat(channel.isOpen()).isFalse();
    }

    // Guards against header fields without end, which were kept in memory until the header timeout.
    @Test
    void sendsStatus431WhenTheHeaderFieldsDoNotEnd() {
        send("GET / HTTP/1.1\r\nhost: a\r\n");
        String fields = "x-a: 1\r\n".repeat(100);
        for (int sent = 0; sent <= 2 * LIMITS.headerBytes() && channel.isOpen(); sent += fields.length()) {
            send(fields);
        }
        assertThat(written()).startsWith("HTTP/1.1 431 ");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void doesNotApplyTheHeaderTimeoutToARequestThatIsHandled() {
        send("GET / HTTP/1.1\r\n");
        send("host: a\r\n\r\n");
        guard.beginRequest(false);
        advance(Duration.ofSeconds(3));
        assertThat(channel.isOpen()).isTrue();
        assertThat(written()).isEmpty();
    }

    @Test
    void refusesContentLengthWithTransferEncodingThatArriveInPieces() {
        send("POST / HTTP/1.1\r\nContent-Len");
        send("gth: 5\r\nTransfer-");
        send("Encoding: chunked\r\n\r\n");
        assertThat(written()).startsWith("HTTP/1.1 400 ");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void doesNotScanTheRequestBodyForHeaderFields() {
        send("POST / HTTP/1.1\r\ncontent-length: 90\r\n\r\n");
        guard.beginRequest(true);
        guard.endResponse();
        advance(Duration.ofSeconds(8));
        send("content-length: 1\r\ntransfer-encoding: chunked\r\n");
        advance(Duration.ofSeconds(8));
        assertThat(channel.isOpen()).isTrue();
        assertThat(written()).isEmpty();
    }

    @Test
    void scansHeaderFieldsAgainOnceTheBodyIsComplete() {
        send("POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\n");
        guard.beginRequest(true);
        guard.endResponse();
        guard.endRequestBody();
        send("POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n");
        assertThat(written()).startsWith("HTTP/1.1 400 ");
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void advance(Duration time) {
        clock.advance(time);
        channel.advanceTimeBy(time.toNanos(), TimeUnit.NANOSECONDS);
        channel.runScheduledPendingTasks();
    }

    private String written() {
        StringBuilder out = new StringBuilder();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            out.append(b.toString(StandardCharsets.US_ASCII));
            b.release();
        }
        return out.toString();
    }
}
