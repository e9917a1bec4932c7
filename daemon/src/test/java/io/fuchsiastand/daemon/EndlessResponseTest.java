package io.fuchsiastand.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests calls to a backend server that sends bytes without end until the daemon closes the connection. The backend server is
 * on another host than the daemon that receives the calls.
 */
class EndlessResponseTest {

    private static final Duration DEADLINE = Duration.ofMillis(1_500);
    private static final Duration MAX_DELAY_AFTER_DEADLINE = Duration.ofMillis(500);
    private static final int MAX_KEPT_CHARS = 200_000;
    private static final int END_CHARS = 16;
    private static final String CHUNKED = "transfer-encoding: chunked\r\n\r\n";
    private static final String CHUNK = "5\r\nsugar\r\n";

    private Fleet fleet;
    private RawBackendServer backend;

    private record Answer(String text, Duration time) {}

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        backend = new RawBackendServer();
        fleet.announce(0, "raw", "menu", backend.port());
        Fleet.await("a call succeeds", () -> {
            try {
                return call("POST").text().startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        });
    }

    @AfterEach
    void stop() throws Exception {
        backend.close();
        fleet.close();
    }

    // Guards against a header section without end, which occupied the call until its deadline and was kept in memory.
    @ParameterizedTest
    @ValueSource(strings = {"x", "\r\n", "\0", "HTTP/1.1 200 OK\r\nx-a: |y", "HTTP/1.1 200 OK\r\n|x-a: 1\r\n"})
    void answers502SoonWhenAHeaderSectionDoesNotEnd(String startAndEndlessBytes) throws Exception {
        setResponse(startAndEndlessBytes);

        Answer a = call("POST");
        assertThat(a.text()).startsWith("HTTP/1.1 502");
        assertThat(a.text()).contains("fuchsiastand-run-state: unknown");
        assertThat(a.time()).isLessThan(DEADLINE);
        awaitConnectionClosed();
    }

    // Guards against interim responses without end, which are no answer to the call.
    @Test
    void answers502SoonWhenInterimResponsesDoNotEnd() throws Exception {
        backend.response = "";
        backend.endlessBytes = "HTTP/1.1 100 Continue\r\n\r\n";

        Answer a = call("POST");
        assertThat(a.text()).startsWith("HTTP/1.1 502");
        assertThat(a.time()).isLessThan(DEADLINE);
        awaitConnectionClosed();
    }

    // Guards against a trailer section without end, which occupied the call until its deadline and was kept in memory.
    @ParameterizedTest
    @ValueSource(strings = {CHUNK + "0\r\n|x-b: 1\r\n", CHUNK + "|0", CHUNK + "5;|a"})
    void breaksOffSoonWhenATrailerSectionOrAChunkHeaderDoesNotEnd(String startAndEndlessBytes) throws Exception {
        setResponse("HTTP/1.1 200 OK\r\n" + CHUNKED + startAndEndlessBytes);

        Answer a = call("POST");
        assertThat(a.text()).startsWith("HTTP/1.1 200");
        assertThat(a.text()).doesNotContain("\r\n0\r\n");
        assertThat(a.time()).isLessThan(DEADLINE);
        awaitConnectionClosed();
    }

    // Guards against a body without end, which the caller received for more than a second after the deadline.
    @ParameterizedTest
    @ValueSource(strings = {CHUNKED + "|" + CHUNK, "\r\n|sugar"})
    void breaksOffABodyWithoutEndAtTheDeadline(String startAndEndlessBytes) throws Exception {
        setResponse("HTTP/1.1 200 OK\r\n" + startAndEndlessBytes);

        Answer a = call("POST");
        assertThat(a.text()).startsWith("HTTP/1.1 200");
        assertThat(a.text()).doesNotContain("\r\n0\r\n");
        assertThat(a.time()).isLessThan(DEADLINE.plus(MAX_DELAY_AFTER_DEADLINE));
        awaitConnectionClosed();
    }

    // Guards against waiting until the deadline for the end of a failed response before the call is sent elsewhere.
    @ParameterizedTest
    @ValueSource(strings = {"500 Internal Server Error\r\n", "503 Full\r\nfuchsiastand-run-state: not-run\r\n"})
    void sendsACallElsewhereWhenTheBodyOfAFailedResponseDoesNotEnd(String statusAndFields) throws Exception {
        fleet.startBackend(0, "sound", "menu");
        // Each call adds to the retry budget.
        for (int i = 0; i < 100; i++) {
            call("GET");
        }
        backend.events.clear();
        backend.response = "HTTP/1.1 " + statusAndFields + CHUNKED;
        backend.endlessBytes = CHUNK;
        for (int i = 0; i < 100 && backend.events.isEmpty(); i++) {
            Answer a = call("GET");
            assertThat(a.text()).startsWith("HTTP/1.1 200");
            assertThat(a.time()).isLessThan(DEADLINE);
        }
        assertThat(backend.events).isNotEmpty();
    }

    // Guards against a backend server that sends such bytes and is still held for sound.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n|x-a: 1\r\n",
                "HTTP/1.1 200 OK\r\n" + CHUNKED + CHUNK + "0\r\n|x-b: 1\r\n",
                "HTTP/1.1 200 OK\r\n" + CHUNKED + "|" + CHUNK
            })
    void countsEndlessResponsesAsFailuresOfTheBackendServer(String startAndEndlessBytes) throws Exception {
        setResponse(startAndEndlessBytes);
        for (int i = 0; i < 3; i++) {
            call("GET");
        }
        backend.response = RawBackendServer.LAST_RESPONSE;
        backend.endlessBytes = "";
        // The circuit breaker of the only backend server rejects the call.
        Answer a = call("POST");
        assertThat(a.text()).startsWith("HTTP/1.1 503");
        assertThat(a.text()).contains("fuchsiastand-run-state: not-run");
    }

    // Sets a response and, after the character "|" if there is one, the bytes that follow without end.
    private void setResponse(String startAndEndlessBytes) {
        int split = startAndEndlessBytes.indexOf('|');
        backend.response = startAndEndlessBytes.substring(0, Math.max(0, split));
        backend.endlessBytes = startAndEndlessBytes.substring(split + 1);
    }

    private void awaitConnectionClosed() throws Exception {
        Fleet.await("the connection to the backend server is closed", () -> backend.events.stream()
                .anyMatch(e -> e.startsWith("broken: ")));
    }

    private Answer call(String method) throws IOException {
        long start = System.nanoTime();
        try (Socket s = new Socket("127.0.0.1", fleet.settings.get(1).ports().callers())) {
            s.setSoTimeout(10_000);
            String request = method + " /menu HTTP/1.1\r\nhost: any\r\nconnection: close\r\nfuchsiastand-deadline-ms: "
                    + DEADLINE.toMillis() + "\r\nauthorization: Bearer " + Fleet.ZERMATT_KEY
                    + "\r\ncontent-length: 0\r\n\r\n";
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String text = readUntilClosed(s.getInputStream());
            return new Answer(text, Duration.ofNanos(System.nanoTime() - start));
        }
    }

    // Keeps the first part of a long answer and its end. A daemon may reset the connection when it breaks off an
    // answer.
    private static String readUntilClosed(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        byte[] buffer = new byte[65_536];
        try {
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (out.length() > MAX_KEPT_CHARS) {
                    out.delete(MAX_KEPT_CHARS / 2, out.length() - END_CHARS);
                }
                out.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
            }
        } catch (SocketException e) {
            assertThat(out.length()).isGreaterThan(0);
        }
        return out.toString();
    }
}
