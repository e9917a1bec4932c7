package io.fuchsiastand.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests idempotent requests of which one attempt fails at a backend server and the next one is refused. */
class FailedThenRefusedTest {

    private static final String REFUSAL =
            "HTTP/1.1 503 Full\r\nfuchsiastand-run-state: not-run\r\nconnection: close\r\n"
                    + "content-length: 0\r\n\r\n";
    private static final String FAILURE = "HTTP/1.1 500 Failed\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    private static final String GET = "GET /menu HTTP/1.1\r\nhost: any\r\nconnection: close\r\nauthorization: Bearer "
            + Fleet.ZERMATT_KEY + "\r\n\r\n";
    // The budget allows a retry for a small part of the requests.
    private static final int REQUESTS_BEFORE = 60;

    private final RawBackendServer failing = new RawBackendServer();
    private final RawBackendServer refusing = new RawBackendServer();
    private Fleet fleet;

    FailedThenRefusedTest() throws IOException {}

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        fleet.announce(0, "failing", "menu", failing.port());
        Fleet.await("a call succeeds", () -> call().startsWith("HTTP/1.1 200"));
        for (int i = 0; i < REQUESTS_BEFORE; i++) {
            call();
        }
    }

    @AfterEach
    void stop() throws Exception {
        failing.close();
        refusing.close();
        fleet.close();
    }

    // Guards against a 503, which promises that a request has not run, if no other backend server is left for a retry
    // (REFUSED).
    @Test
    void neverAnswersARequestThatRanWith503IfNoBackendServerIsLeft() throws Exception {
        failing.response = FAILURE;
        failing.events.clear();
        String answer = call();

        assertThat(failing.events).hasSize(1);
        assertThat(answer).startsWith("HTTP/1.1 50");
        assertThat(answer).doesNotContain("HTTP/1.1 503");
        assertThat(answer).doesNotContain("not-run");
    }

    // Guards against the same fault if the other backend server refuses the retry.
    @Test
    void neverAnswersARequestThatRanWithTheRefusalOfAnotherBackendServer() throws Exception {
        fleet.announce(0, "refusing", "menu", refusing.port());
        Fleet.await("the second backend server gets calls", () -> {
            call();
            return !refusing.events.isEmpty();
        });
        refusing.response = REFUSAL;
        failing.response = FAILURE;
        Fleet.await("both backend servers get the same request", () -> {
            failing.events.clear();
            refusing.events.clear();
            String answer = call();
            if (!failing.events.isEmpty()) {
                assertThat(answer).doesNotContain("HTTP/1.1 503");
                assertThat(answer).doesNotContain("not-run");
            }
            return !failing.events.isEmpty() && !refusing.events.isEmpty();
        });
    }

    private String call() {
        try (Socket s = new Socket("127.0.0.1", fleet.settings.get(0).ports().callers())) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write(GET.getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
