package io.fuchsiastand.daemon;

import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests responses whose status is none of HTTP. The backend server is on another host than the daemon that receives the calls. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StatusLineTest {

    private static final String REST = "\r\ncontent-length: 2\r\n\r\nok";
    // An interim response that is repeated this often exceeds the limit of a header section.
    private static final int MANY = 10_000;

    private RawCalls calls;
    private RawBackendServer backend;

    @BeforeAll
    void start() throws Exception {
        calls = new RawCalls();
        backend = calls.backend;
    }

    @AfterAll
    void stop() throws Exception {
        calls.close();
    }

    @BeforeEach
    void reset() throws Exception {
        calls.reset();
    }

    private static List<String> statusLinesWithoutAStatus() {
        return List.of(
                "HTTP/1.1 000 OK",
                "HTTP/1.1 000",
                "HTTP/1.1 001 OK",
                "HTTP/1.1 042 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 0 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 -20 OK",
                "HTTP/1.1 -200 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 2 0 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1 abc OK",
                "HTTP/1.1 \u0662\u0660\u0660 OK",
                "HTTP/1.1  OK",
                "HTTP/1.1 OK");
    }

    private static List<String> interimResponsesThatAreNotAllowed() {
        return List.of(
                "HTTP/1.1 101 Switching Protocols\r\nupgrade: other\r\nconnection: upgrade\r\n\r\n",
                "HTTP/1.1 100 Continue\r\ncontent-length: 2\r\n\r\nok" + RawBackendServer.LAST_RESPONSE,
                "HTTP/1.1 100 Continue\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
                        + RawBackendServer.LAST_RESPONSE,
                "HTTP/1.1 103 Early Hints\r\ncontent-length: 2\r\n\r\nok" + RawBackendServer.LAST_RESPONSE,
                "HTTP/1.1 199 x\r\n\r\n".repeat(MANY));
    }

    // Guards against a caller that gets an answer whose status does not exist (MIXED).
    @ParameterizedTest
    @MethodSource("statusLinesWithoutAStatus")
    void answers502WhenAResponseHasNoStatusOfHttp(String statusLine) throws Exception {
        backend.response = statusLine + REST;
        assertMayHaveRun(calls.exchange(RawCalls.POST));
    }

    @ParameterizedTest
    @MethodSource("interimResponsesThatAreNotAllowed")
    void answers502WhenAnInterimResponseIsNotAllowed(String response) throws Exception {
        backend.response = response;
        assertMayHaveRun(calls.exchange(RawCalls.POST));
    }

    private void assertMayHaveRun(String answer) throws Exception {
        assertThat(answer).startsWith("HTTP/1.1 502");
        assertThat(answer).contains("fuchsiastand-run-state: unknown");
        assertThat(answer).doesNotContain("\r\n\r\nok");
        assertThat(backend.events.stream().filter(e -> e.startsWith("POST"))).hasSize(1);
        calls.awaitNoConnections();
    }
}
