package io.fuchsiastand.daemon;

import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.HttpObjectStore;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests messages whose sender closes the connection before their end. The backend server is on another host than the daemon
 * that receives the calls.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class TruncatedMessageTest {

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

    private static List<String> incompleteHeads() {
        return List.of(
                "H",
                "HTTP/1.1 200",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nx-a: 1",
                "HTTP/1.1 200 OK\r\nx-a: 1\r\n",
                "HTTP/1.1 200 OK\r\nx-a: 1\r\n\r",
                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n",
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a",
                "HTTP/1.1 200 OK\r\ncontent-length: 5",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-a: 1",
                "HTTP/1.1 200 OK\r\nconnection: close\r\n",
                "HTTP/1.1 204 No Content\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.0 200 OK\r\n");
    }

    // Guards against a success with an empty body, framed as complete, for a head of which a part is missing.
    @ParameterizedTest
    @MethodSource("incompleteHeads")
    void answers502WhenTheHeadOfAResponseIsNotComplete(String start) throws Exception {
        backend.response = start;
        String answer = calls.exchange(RawCalls.POST);

        assertThat(answer).startsWith("HTTP/1.1 502");
        assertThat(answer).contains("fuchsiastand-run-state: unknown");
        assertThat(backend.events).hasSize(1);
    }

    // Guards against the same fault on the way from one daemon to another.
    @ParameterizedTest
    @MethodSource("incompleteHeads")
    void failsAForwardedCallWhenTheHeadOfTheResponseIsNotComplete(String start) throws Exception {
        backend.response = start;
        try (Transport transport = new Transport(Optional.empty());
                StreamingHttpClient client = transport.dataClient("127.0.0.1", backend.port())) {
            Future<StreamingHttpResponse> response =
                    client.request(client.get("/").setHeader("host", "any")).toFuture();
            assertThrows(ExecutionException.class, () -> response.get(10, TimeUnit.SECONDS));
        }
    }

    // Guards against objects that seem to be missing or empty.
    @ParameterizedTest
    @MethodSource("incompleteHeads")
    void failsACallOfTheObjectStoreWhenTheHeadOfTheResponseIsNotComplete(String start) {
        try (HttpObjectStore store = new HttpObjectStore("127.0.0.1", backend.port(), Duration.ofSeconds(1))) {
            for (String status : List.of("200 OK", "404 Not Found")) {
                backend.response = start.replace("200 OK", status);
                FuchsiastandException e = assertThrows(FuchsiastandException.class, () -> store.get("members/h1"));
                assertThat(e.code()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
            }
        }
    }

    // Guards against the same fault at the end of a chunked body.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "5",
                "5\r\n",
                "5\r\nsug",
                "5\r\nsugar",
                "5\r\nsugar\r\n",
                "5\r\nsugar\r\n0",
                "5\r\nsugar\r\n0\r\n",
                "5\r\nsugar\r\n0\r\nx-b: 1",
                "5\r\nsugar\r\n0\r\nx-b: 1\r\n"
            })
    void passesOnAnIncompleteChunkedBodyWithoutItsEnd(String body) throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + body;
        String answer = calls.exchange(RawCalls.POST);

        assertThat(answer).doesNotContain("\r\n0\r\n\r\n");
        assertThat(answer).doesNotContain("content-length: 5\r\n");
        assertThat(answer).doesNotContain("content-length: 0\r\n");
        assertThat(backend.events).hasSize(1);
    }

    // Guards against a request that runs although its head or its body is not complete.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /menu HTTP/1.1\r\nhost: any\r\n" + RawCalls.AUTH,
                "POST /menu HTTP/1.1\r\nhost: any\r\n" + RawCalls.AUTH + "content-length: 0\r\n",
                "POST /menu HTTP/1.1\r\nhost: any\r\n" + RawCalls.AUTH + "content-length: 0\r\n\r",
                "POST /menu HTTP/1.1\r\nhost: any\r\n" + RawCalls.AUTH + "content-length: 5\r\n\r\nsuga",
                "GET /menu HTTP/1.1\r\nhost: any\r\n" + RawCalls.AUTH + "x-a: 1"
            })
    void runsNoRequestWhoseCallerClosesTheConnectionBeforeItsEnd(String start) throws Exception {
        try (Socket s = calls.connect()) {
            s.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
            s.shutdownOutput();
            s.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // The daemon may reset the connection.
        }
        Thread.sleep(Duration.ofMillis(300).toMillis());
        assertThat(backend.events).isEmpty();
    }

    @Test
    void answers502WhenTheConnectionIsResetInsideTheHead() throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n";
        backend.resetsConnections = true;
        try {
            assertThat(calls.exchange(RawCalls.POST)).startsWith("HTTP/1.1 502");
        } finally {
            backend.resetsConnections = false;
        }
    }

    @Test
    void breaksOffABodyWithoutLengthWhenItsConnectionIsReset() throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\n\r\nhalf";
        backend.resetsConnections = true;
        try {
            assertThat(calls.exchange(RawCalls.POST)).doesNotContain("\r\n0\r\n");
        } finally {
            backend.resetsConnections = false;
        }
    }
}
