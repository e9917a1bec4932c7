package io.fuchsiastand.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests calls that fail at the backend server while the caller still sends the body. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RefusalDuringBodyTest {

    private static final String HEAD = "POST /menu HTTP/1.1\r\nhost: any\r\nauthorization: Bearer " + Fleet.ZERMATT_KEY
            + "\r\ntransfer-encoding: chunked\r\n\r\n";
    private static final String CHUNK = "5\r\nsugar\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int PAUSE_MILLIS = 20;
    private static final int CHUNKS = 25;
    private static final int MAX_WAIT_MILLIS = 10_000;

    private Fleet fleet;
    private RawBackendServer backend;

    @BeforeAll
    void start() throws Exception {
        fleet = new Fleet(2);
        backend = new RawBackendServer();
        backend.readsBodies = false;
        fleet.announce(0, "raw", "menu", backend.port());
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
        backend.close();
    }

    // Guards against a connection that is closed instead of an answer, when the call fails before the caller has sent
    // the whole body (LOST).
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void theCallerGetsTheRefusal(int daemon) throws Exception {
        backend.response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n";
        Fleet.await("a call reaches the backend server", () -> {
            try {
                int before = backend.events.size();
                String answer = exchange(daemon);
                assertThat(answer).startsWith("HTTP/1.1 50");
                return backend.events.size() > before;
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private String exchange(int daemon) throws IOException, InterruptedException {
        try (Socket s =
                new Socket("127.0.0.1", fleet.settings.get(daemon).ports().callers())) {
            s.setTcpNoDelay(true);
            s.setSoTimeout(MAX_WAIT_MILLIS);
            OutputStream out = s.getOutputStream();
            out.write(HEAD.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < CHUNKS; i++) {
                out.write(CHUNK.getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(PAUSE_MILLIS);
            }
            out.write(LAST_CHUNK.getBytes(StandardCharsets.US_ASCII));
            byte[] start = new byte[12];
            int read = s.getInputStream().readNBytes(start, 0, start.length);
            return new String(start, 0, read, StandardCharsets.US_ASCII);
        }
    }
}
