package io.fuchsiastand.daemon.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import io.fuchsiastand.config.RequestLimits;
import io.fuchsiastand.daemon.board.MemoryLimits;
import io.fuchsiastand.time.Clock;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.api.ServerContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests requests that do not end until the server closes the connection. */
class EndlessRequestTest {

    private static final String HEAD = "POST /x HTTP/1.1\r\nhost: a\r\n";
    private static final String CHUNKED = HEAD + "transfer-encoding: chunked\r\n\r\n";
    private static final RequestLimits LIMITS =
            new RequestLimits(16_384, 1_000_000, Duration.ofSeconds(10), Duration.ofSeconds(10));
    // The limit of a section or a body, and what the buffers of the operating system hold.
    private static final int MAX_SENT_BYTES = 12_000_000;
    private static final int BLOCK_BYTES = 16_384;
    private static final int MAX_LEGAL_BODY_BYTES = 60_000;

    private final Transport transport = new Transport(Optional.empty());

    @AfterEach
    void close() {
        transport.close();
    }

    // Guards against requests to the admin port or of backend servers that were kept in memory until the daemon had
    // none
    // left, which ended its process.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "|x",
                "|\r\n",
                HEAD + "x-a: |y",
                HEAD + "|x-a: 1\r\n",
                HEAD + "content-length: 2000000000\r\n\r\n|sugar",
                CHUNKED + "|5\r\nsugar\r\n",
                CHUNKED + "7fffffff\r\n|sugar",
                CHUNKED + "5;|a",
                CHUNKED + "|0",
                CHUNKED + "5\r\nsugar\r\n0\r\n|x-b: 1\r\n"
            })
    void breaksOffARequestThatIsKeptInMemory(String startAndEndlessBytes) throws Exception {
        try (ServerContext server = transport.blockingServer(0, (c, r, f) -> f.ok())) {
            assertBreaksOff(server, startAndEndlessBytes);
        }
    }

    // Guards against a trailer section or the head of a chunk that was kept in memory without end.
    @ParameterizedTest
    @ValueSource(strings = {CHUNKED + "5;|a", CHUNKED + "|0", CHUNKED + "5\r\nsugar\r\n0\r\n|x-b: 1\r\n"})
    void breaksOffASectionInTheBodyOfAForwardedRequest(String startAndEndlessBytes) throws Exception {
        try (ServerContext callers = transport.callerServer(
                        0, EndlessRequestTest::readBody, () -> LIMITS, Clock.system(), new CallerConnections());
                ServerContext data = transport.dataServer(0, EndlessRequestTest::readBody)) {
            assertBreaksOff(callers, startAndEndlessBytes);
            assertBreaksOff(data, startAndEndlessBytes);
        }
    }

    // Guards against header fields of another daemon that were kept in memory without end.
    @Test
    void breaksOffAHeaderSectionOfAnotherDaemon() throws Exception {
        try (ServerContext data = transport.dataServer(0, EndlessRequestTest::readBody)) {
            assertBreaksOff(data, HEAD + "|x-a: 1\r\n");
        }
    }

    @Test
    void answersARequestThatIsTooLongWithItsStatus() throws Exception {
        try (ServerContext server = transport.blockingServer(0, (c, r, f) -> f.ok())) {
            int tooLong = 100_000;
            assertThat(answer(server, HEAD + "content-length: " + tooLong + "\r\n\r\n" + "b".repeat(tooLong)))
                    .startsWith("HTTP/1.1 413 ");
            assertThat(answer(server, HEAD + "x-a: 1\r\n".repeat(tooLong / 8))).startsWith("HTTP/1.1 431 ");
            assertThat(answer(
                            server,
                            HEAD + "content-length: " + MAX_LEGAL_BODY_BYTES + "\r\n\r\n"
                                    + "b".repeat(MAX_LEGAL_BODY_BYTES)))
                    .startsWith("HTTP/1.1 200 ");
        }
    }

    // Guards against connections that are dropped for room without an answer. The second connection of two that hold a
    // nearly full head exceeds the room.
    @ParameterizedTest
    @CsvSource({"'', HTTP/1.1 503 , not-run", "'\r\n', HTTP/1.1 502 , unknown"})
    void answersARequestWhoseConnectionIsDroppedForRoom(String end, String status, String runState) throws Exception {
        MemoryLimits d = MemoryLimits.DEFAULT;
        MemoryLimits small =
                new MemoryLimits(d.headerFields(), 1_000_000, d.backendRequestBytes(), d.maxUnread(), d.connections());
        String head = "GET /x HTTP/1.1\r\nhost: a\r\n" + "a:\r\n".repeat(2_000);
        try (Transport t = new Transport(Optional.empty(), small);
                ServerContext callers = t.callerServer(
                        0, (c, r, f) -> Single.never(), () -> LIMITS, Clock.system(), new CallerConnections());
                Socket first = connect(callers);
                Socket second = connect(callers)) {
            first.getOutputStream().write((head + "a:\r\n" + end).getBytes(StandardCharsets.US_ASCII));
            while (t.buffer().heldBytes() < 640_000) {
                Thread.sleep(5);
            }
            second.getOutputStream().write((head + end).getBytes(StandardCharsets.US_ASCII));
            String answer = new String(first.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(answer).startsWith(status);
            assertThat(answer).contains("fuchsiastand-run-state: " + runState);
        }
    }

    // Guards against a crowd of connections that takes the descriptors of the process. The request of the first
    // connection is handled, the second one does not end its head, the third one is idle.
    @Test
    void closesTheLeastRecentlyUsedConnectionWhenThereAreTooMany() throws Exception {
        CallerConnections connections = new CallerConnections(3);
        StreamingHttpService service = (c, r, f) -> {
            ConnectionGuard.beginRequest(c, false);
            return Single.never();
        };
        try (ServerContext callers = transport.callerServer(0, service, () -> LIMITS, Clock.system(), connections);
                Socket handled = connect(callers)) {
            handled.getOutputStream().write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            awaitSize(connections, 1);
            try (Socket unfinished = connect(callers)) {
                unfinished.getOutputStream().write("GET /x HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII));
                awaitSize(connections, 2);
                Thread.sleep(100);
                try (Socket idle = connect(callers)) {
                    awaitSize(connections, 3);
                    Socket fourth = connect(callers);
                    assertThat(new String(unfinished.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                            .startsWith("HTTP/1.1 502 ");
                    awaitSize(connections, 3);
                    Socket fifth = connect(callers);
                    assertThat(idle.getInputStream().read()).isEqualTo(-1);
                    awaitSize(connections, 3);
                    assertThat(connections.closedForRoom()).isEqualTo(2);
                    handled.setSoTimeout(100);
                    assertThrows(SocketTimeoutException.class, () -> handled.getInputStream()
                            .read());
                }
            }
        }
    }

    private static void awaitSize(CallerConnections connections, int size) throws InterruptedException {
        while (connections.size() != size) {
            Thread.sleep(5);
        }
    }

    private static Single<StreamingHttpResponse> readBody(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
        return request.messageBody().ignoreElements().concat(Single.succeeded(factory.ok()));
    }

    private static void assertBreaksOff(ServerContext server, String startAndEndlessBytes) throws Exception {
        int split = startAndEndlessBytes.indexOf('|');
        String endless = startAndEndlessBytes.substring(split + 1);
        byte[] block = endless.repeat(BLOCK_BYTES / endless.length()).getBytes(StandardCharsets.US_ASCII);
        long sent = 0;
        try (Socket s = connect(server)) {
            OutputStream out = s.getOutputStream();
            out.write(startAndEndlessBytes.substring(0, split).getBytes(StandardCharsets.US_ASCII));
            while (sent < MAX_SENT_BYTES) {
                out.write(block);
                sent += block.length;
            }
        } catch (IOException e) {
            // The server has closed the connection.
        }
        assertThat(sent).isLessThan(MAX_SENT_BYTES);
        assertThat(answer(server, "GET /x HTTP/1.1\r\nhost: a\r\n\r\n")).startsWith("HTTP/1.1 200 ");
    }

    private static String answer(ServerContext server, String request) throws IOException {
        try (Socket s = connect(server)) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readNBytes(13), StandardCharsets.US_ASCII);
        }
    }

    private static Socket connect(ServerContext server) throws IOException {
        Socket s = new Socket("127.0.0.1", ((InetSocketAddress) server.listenAddress()).getPort());
        s.setSoTimeout(10_000);
        return s;
    }
}
