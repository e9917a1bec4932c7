package io.fuchsiastand.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests how daemons handle HTTP messages that are malformed, ambiguous or of unusual form (RFC 9110 and RFC 9112). The
 * backend server is on another host than the daemon that receives the calls, so that each call passes through two daemons.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class HttpFramingTest {

    private static final String AUTH = "authorization: Bearer " + Fleet.ZERMATT_KEY + "\r\n";
    private static final String HOST_AND_CLOSE = "host: any\r\nconnection: close\r\n";

    private Fleet fleet;
    private RawBackendServer backend;

    @BeforeAll
    void start() throws Exception {
        fleet = new Fleet(2, "most_header_fields = 1400\n");
        backend = new RawBackendServer();
        fleet.announce(0, "raw", "menu", backend.port());
        awaitSuccessfulCalls();
    }

    // After a test in which the backend server fails, its circuit breaker rejects or defers calls for a short time.
    private void awaitSuccessfulCalls() throws Exception {
        Fleet.await("calls succeed through both daemons", () -> {
            try {
                // The circuit breaker may accept a GET earlier, because a GET may be retried. A POST must not be
                // retried, so its success shows that the circuit breaker accepts all calls again.
                return exchange("GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n")
                                .startsWith("HTTP/1.1 200")
                        && exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "content-length: 0\r\n\r\n")
                                .startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        });
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
        backend.close();
    }

    @BeforeEach
    void reset() throws Exception {
        backend.response = RawBackendServer.LAST_RESPONSE;
        backend.closesAfterResponse = true;
        backend.delayMillis = 0;
        // A call on a connection that the backend server is about to close would fail.
        Fleet.await("the backend server has closed its connections", () -> backend.openConnections.get() == 0);
        awaitSuccessfulCalls();
        backend.events.clear();
    }

    // The last case is not about framing: a second host field is refused too.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "content-length: 5\r\ncontent-length: 6\r\n\r\nhello",
                "content-length: -1\r\n\r\n",
                "content-length: 5x\r\n\r\nhello",
                "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
                "content-length : 5\r\n\r\nhello",
                "host: other\r\n\r\n"
            })
    void refusesInvalidAndAmbiguousFraming(String fieldsAndBody) throws Exception {
        String response = exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + fieldsAndBody);
        assertThat(backend.events).isEmpty();
        if (!response.isEmpty()) {
            assertThat(response).startsWith("HTTP/1.1 400");
        }
    }

    @Test
    void ignoresRequestsThatFollowARefusedRequestOnTheConnection() throws Exception {
        String headers = "host: any\r\n" + AUTH;
        String response = exchange("POST /menu HTTP/1.1\r\n" + headers + "transfer-encoding: xchunked\r\n\r\n"
                + "GET /menu HTTP/1.1\r\n" + headers + "\r\n");

        assertThat(backend.events).isEmpty();
        assertThat(response).startsWith("HTTP/1.1 400");
        assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
    }

    @Test
    void refusesARequestWithoutAHostField() throws Exception {
        assertThat(exchange("GET /menu HTTP/1.1\r\nconnection: close\r\n" + AUTH + "\r\n"))
                .startsWith("HTTP/1.1 400");
    }

    @ParameterizedTest
    @ValueSource(strings = {"x-odd: a\rb\r\n", "x-odd: a\0b\r\n"})
    void refusesControlCharactersInAFieldValue(String field) throws Exception {
        String response = exchange("GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + field + "\r\n");

        assertThat(backend.events).isEmpty();
        assertThat(response).doesNotContain("HTTP/1.1 200");
    }

    @Test
    void refusesTooManyFields() throws Exception {
        String response =
                exchange("GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "a: 1\r\n".repeat(1_500) + "\r\n");

        assertThat(backend.events).isEmpty();
        assertThat(response).startsWith("HTTP/1.1 431");
    }

    // According to RFC 9112, section 6.3, such a message may be an attempt at request smuggling.
    @Test
    void refusesARequestWithContentLengthAndTransferEncoding() throws Exception {
        String response = exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH
                + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n");

        assertThat(backend.events).isEmpty();
        assertThat(response).startsWith("HTTP/1.1 400");
        assertThat(response).contains("connection: close");
    }

    @ParameterizedTest
    @ValueSource(strings = {"TRACE /menu", "CONNECT menu:80", "BREW /menu"})
    void refusesMethodsThatAreNotForwarded(String methodAndTarget) throws Exception {
        String response = exchange(methodAndTarget + " HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n");
        assertThat(backend.events).isEmpty();
        if (!response.isEmpty()) {
            assertThat(response).startsWith("HTTP/1.1 400");
        }
    }

    @Test
    void removesConnectionHeadersAndTheKey() throws Exception {
        exchange(
                "GET /menu HTTP/1.1\r\nhost: any\r\nconnection: close\r\nconnection: x-secret\r\nx-secret: 1\r\nkeep-alive: 5\r\n"
                        + "te: trailers\r\nupgrade: h2c\r\nproxy-authorization: x\r\nx-kept: 1\r\n" + AUTH + "\r\n");
        String forwarded = backend.events.get(0).toLowerCase(Locale.ROOT);
        assertThat(forwarded).contains("x-kept: 1");
        assertThat(forwarded).contains("via: 1.1 fuchsiastand");
        assertThat(forwarded).contains("fuchsiastand-team: zermatt");
        for (String removed :
                new String[] {"x-secret", "keep-alive", "te:", "upgrade", "proxy-auth", "authorization"}) {
            assertThat(forwarded).doesNotContain(removed);
        }
    }

    @Test
    void reportsRunStateUnknownAfterABackendServerFailed() throws Exception {
        String get = "GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n";
        // Each request adds to the retry budget. So the daemon may retry the failed call, but it finds no other backend
        // server.
        for (int i = 0; i < 10; i++) {
            exchange(get);
        }
        backend.events.clear();
        backend.response = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\nboom";
        String response = exchange(get);

        assertThat(backend.events).hasSize(1);
        assertThat(response).startsWith("HTTP/1.1 502");
        assertThat(response).contains("fuchsiastand-run-state: unknown");
        assertThat(response).doesNotContain("not-run");
    }

    @Test
    void sendsAnIdempotentCallWhenEveryBackendServerIsSuspect() throws Exception {
        String get = "GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n";
        backend.response = "HTTP/1.1 500 Internal Server Error\r\nconnection: close\r\ncontent-length: 4\r\n\r\nboom";
        for (int i = 0; i < 20; i++) {
            exchange(get);
        }
        backend.response = RawBackendServer.LAST_RESPONSE;

        assertThat(exchange(get)).startsWith("HTTP/1.1 200");
    }

    @Test
    void forwardsOrCreatesTheRequestId() throws Exception {
        String withId = exchange("GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "x-request-id: tray-7\r\n\r\n");
        assertThat(backend.events.get(0)).contains("x-request-id: tray-7");
        assertThat(withId).contains("x-request-id: tray-7");

        String withoutId = exchange("GET /nowhere HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n");
        assertThat(withoutId).startsWith("HTTP/1.1 404");
        assertThat(withoutId).containsMatch("x-request-id: [0-9a-f]+\r\n");
    }

    @Test
    void respondsToHeadWithContentLengthAndWithoutABody() throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\ncontent-length: 4711\r\n\r\n";
        String response = exchange("HEAD /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n");
        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response).contains("content-length: 4711");
        assertThat(response).endsWith("\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void forwardsResponsesThatNeverHaveABody(String status) throws Exception {
        backend.response = "HTTP/1.1 " + status + "\r\netag: \"a\"\r\n\r\n";
        String response = exchange("GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n");
        assertThat(response).startsWith("HTTP/1.1 " + status.substring(0, 3));
        assertThat(response).contains("etag: \"a\"");
        assertThat(response).endsWith("\r\n\r\n");
    }

    @Test
    void forwardsChunkedBodiesAndTrailers() throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n"
                + "5\r\ncandy\r\n0\r\nx-sum: 42\r\n\r\n";
        String response = exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH
                + "transfer-encoding: chunked\r\ntrailer: x-end\r\n\r\n5\r\nsugar\r\n0\r\nx-end: 7\r\n\r\n");
        assertThat(backend.events.get(0)).contains("sugar");
        assertThat(backend.events.get(0)).contains("x-end: 7");
        assertThat(response).contains("candy");
        assertThat(response).contains("x-sum: 42");
    }

    // Guards against a request that runs with an empty body because Connection names the field that frames the body
    // (UNASKED).
    @ParameterizedTest
    @ValueSource(
            strings = {
                "connection: transfer-encoding\r\ntransfer-encoding: chunked\r\n\r\n5\r\nsugar\r\n0\r\n\r\n",
                "connection: close, Transfer-Encoding\r\ntransfer-encoding: chunked\r\n\r\n5\r\nsugar\r\n0\r\n\r\n",
                "connection: content-length\r\ncontent-length: 5\r\n\r\nsugar"
            })
    void forwardsTheBodyWhenConnectionNamesTheFieldThatFramesIt(String fieldsAndBody) throws Exception {
        String response = exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + fieldsAndBody);
        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(backend.events.get(0)).contains("sugar");
    }

    // Guards against the same fault in the other direction (MIXED).
    @ParameterizedTest
    @ValueSource(
            strings = {
                "connection: transfer-encoding\r\ntransfer-encoding: chunked\r\n\r\n5\r\ncandy\r\n0\r\n\r\n",
                "connection: content-length\r\ncontent-length: 5\r\n\r\ncandy"
            })
    void forwardsTheBodyOfAResponseWhenConnectionNamesTheFieldThatFramesIt(String fieldsAndBody) throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\n" + fieldsAndBody;
        assertThat(exchange("GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n"))
                .contains("candy");
    }

    @Test
    void neverForwardsATruncatedResponseAsComplete() throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
        String fixed = exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "content-length: 0\r\n\r\n");
        assertThat(fixed.startsWith("HTTP/1.1 502") || fixed.endsWith("half")).isTrue();
        assertThat(fixed).doesNotContain("content-length: 4\r\n");
        assertThat(backend.events).hasSize(1);
        // A POST must not be retried, so the circuit breaker does not accept it soon after a failure; reset() waits
        // until it does.
        reset();
        backend.response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        String chunked = exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "content-length: 0\r\n\r\n");
        assertThat(chunked).doesNotContain("\r\n0\r\n");
        assertThat(chunked).doesNotContain("content-length: 4\r\n");
        assertThat(backend.events).hasSize(1);
    }

    @Test
    void cancelsTheCallAtTheBackendServerWhenTheCallerDisconnects() throws Exception {
        backend.delayMillis = 3_000;
        try (Socket s = connect()) {
            write(s, "GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n");
            Fleet.await("the backend server has received the call", () -> backend.events.size() == 1);
        }
        long disconnectedAt = System.nanoTime();
        Fleet.await("the connection to the backend server is closed", () -> backend.events.contains("closed early"));

        assertThat(System.nanoTime() - disconnectedAt).isLessThan(500_000_000L);
    }

    @Test
    void sendsContinueItselfWhenACallerExpectsIt() throws Exception {
        try (Socket s = connect()) {
            write(
                    s,
                    "POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH
                            + "expect: 100-continue\r\ncontent-length: 5\r\n\r\n");
            assertThat(readUntil(s.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 100");
            write(s, "sugar");
            assertThat(new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
                    .startsWith("HTTP/1.1 200");
        }
        assertThat(backend.events.get(0)).endsWith("sugar");
    }

    @Test
    void respondsToPipelinedRequestsInOrder() throws Exception {
        String first = "GET /nowhere HTTP/1.1\r\nhost: any\r\n\r\n";
        String response = exchange(first + "GET /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "\r\n");
        assertThat(response.indexOf("404")).isLessThan(response.indexOf("200 OK"));
        assertThat(response.indexOf("404")).isAtLeast(0);
    }

    @Test
    void doesNotRetryANonIdempotentCallWhenTheConnectionCloses() throws Exception {
        backend.response = "";
        String response = exchange("POST /menu HTTP/1.1\r\n" + HOST_AND_CLOSE + AUTH + "content-length: 0\r\n\r\n");
        assertThat(backend.events).hasSize(1);
        assertThat(response).startsWith("HTTP/1.1 502");
        assertThat(response).contains("fuchsiastand-run-state: unknown");
    }

    private String exchange(String request) throws IOException {
        try (Socket s = connect()) {
            write(s, request);
            return readUntil(s.getInputStream(), "no response contains this");
        } catch (SocketException e) {
            return "";
        }
    }

    private Socket connect() throws IOException {
        Socket s = new Socket("127.0.0.1", fleet.settings.get(1).ports().callers());
        s.setSoTimeout(10_000);
        return s;
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        s.getOutputStream().flush();
    }

    private static String readUntil(InputStream in, String end) throws IOException {
        StringBuilder b = new StringBuilder();
        while (b.indexOf(end) < 0) {
            int c = in.read();
            if (c < 0) {
                return b.toString();
            }
            b.append((char) c);
        }
        return b.toString();
    }
}
