package io.fuchsiastand.daemon;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests a backend server that sends an earlier refusal once more on a connection that is kept open. The backend server is on
 * another host than the daemon that receives the calls.
 */
class RepeatedRefusalTest {

    private static final String REFUSAL =
            "HTTP/1.1 503 Full\r\nfuchsiastand-run-state: not-run\r\ncontent-length: 0\r\n\r\n";
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    private static final String POST = "POST /menu HTTP/1.1\r\nhost: any\r\nconnection: close\r\nauthorization: Bearer "
            + Fleet.ZERMATT_KEY + "\r\ncontent-length: 0\r\n\r\n";

    private Fleet fleet;
    private RawBackendServer backend;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        backend = new RawBackendServer();
        backend.closesAfterResponse = false;
        backend.response = SUCCESS;
        fleet.announce(0, "raw", "menu", backend.port());
        Fleet.await("a call succeeds", () -> call().startsWith("HTTP/1.1 200"));
        backend.events.clear();
    }

    @AfterEach
    void stop() throws Exception {
        backend.close();
        fleet.close();
    }

    // Guards against a 503, which promises that a request has not run, for a request that the backend server runs.
    @ParameterizedTest
    @ValueSource(strings = {REFUSAL + REFUSAL, REFUSAL + "|" + REFUSAL})
    void neverAnswersARequestThatRanWithAnEarlierRefusal(String refusals) throws Exception {
        // The part after the bar is sent when the next request arrives on the connection.
        String[] parts = refusals.split("\\|");
        backend.response = parts[0];
        assertThat(call()).startsWith("HTTP/1.1 503");
        int refused = requests();
        backend.response = SUCCESS;
        backend.bytesBeforeNextResponse = parts.length > 1 ? parts[1] : "";
        String answer = call();

        assertThat(requests()).isEqualTo(refused + 1);
        assertThat(answer).doesNotContain("HTTP/1.1 503");
        assertThat(answer).doesNotContain("not-run");
    }

    // The backend server also records connections that the daemon breaks off.
    private int requests() {
        return (int) backend.events.stream().filter(e -> e.startsWith("POST ")).count();
    }

    private String call() {
        try (Socket s = new Socket("127.0.0.1", fleet.settings.get(1).ports().callers())) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write(POST.getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
