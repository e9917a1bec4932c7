package io.fuchsiastand.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.fuchsiastand.config.RequestLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests calls with large bodies that must not run twice. */
class UploadTest {

    private static final String HEAD =
            "POST /menu/upload HTTP/1.1\r\nhost: any\r\nauthorization: Bearer " + Fleet.ZERMATT_KEY + "\r\n";
    private static final int UPLOADS = 60;
    private static final long UPLOAD_BYTES = 900_000;
    // Much shorter than the idle timeout of connections.
    private static final Duration MAX_RELEASE_TIME = Duration.ofSeconds(5);

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        fleet.startBackend(1, "far", "menu");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against an upload that is lost because the first backend server cannot be reached. The one in the own data
    // centre, where nothing listens, is preferred.
    @Test
    void sendsAnUploadElsewhereWhenTheFirstBackendServerCannotBeReached() throws Exception {
        fleet.announce(0, "near", "menu", Fleet.freePort());
        Fleet.await("the backend server is in the rotation", () -> fleet.daemons.get(0).status().backends().stream()
                .anyMatch(b -> b.id().equals("near") && b.weight() > 0));
        HttpRequest upload = fleet.request(0, "/menu/upload", Fleet.ZERMATT_KEY)
                .POST(HttpRequest.BodyPublishers.ofString("candy floss ".repeat(20_000)))
                .build();

        for (int i = 0; i < 5; i++) {
            assertThat(fleet.send(upload).statusCode()).isEqualTo(200);
        }
    }

    // Guards against a heap that fills up because the bodies of ended requests stay reachable until the idle timeout of
    // their
    // connections, although the callers have closed these.
    @Test
    void keepsNoBodiesOfConnectionsThatCallersHaveClosed() throws Exception {
        byte[] upload = new byte[(int) UPLOAD_BYTES];
        upload(upload);
        long usedBefore = usedHeapBytes();
        for (int i = 0; i < UPLOADS; i++) {
            assertThat(upload(upload)).startsWith("HTTP/1.1 200");
        }
        long end = System.nanoTime() + MAX_RELEASE_TIME.toNanos();
        long kept = usedHeapBytes() - usedBefore;
        while (kept > UPLOADS * UPLOAD_BYTES / 4 && System.nanoTime() < end) {
            Thread.sleep(200);
            kept = usedHeapBytes() - usedBefore;
        }
        assertThat(kept).isLessThan(UPLOADS * UPLOAD_BYTES / 4);
    }

    // Guards against bodies in chunks that exceed the limit of the configuration, against a connection that is closed
    // instead of an answer to them, and against a backend server that is held responsible for them.
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void refusesABodyInChunksThatIsLongerThanTheConfigurationAllows(int daemon) throws Exception {
        byte[] chunk = ("10000\r\n" + "s".repeat(0x10000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < 5; i++) {
            try (Socket s = open(daemon)) {
                OutputStream out = s.getOutputStream();
                out.write((HEAD + "transfer-encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                for (long sent = 0; sent < RequestLimits.DEFAULT.bodyBytes() + 500_000; sent += chunk.length) {
                    out.write(chunk);
                }
                // The answer does not wait for the end of the body.
                assertThat(new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII))
                        .isEqualTo("HTTP/1.1 413");
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                        .contains("\"runState\":\"unknown\"}");
            }
        }
        assertThat(fleet.get(daemon, "/menu/x", Fleet.ZERMATT_KEY).statusCode()).isEqualTo(200);
    }

    private Socket open(int daemon) throws IOException {
        Socket s = new Socket("127.0.0.1", fleet.settings.get(daemon).ports().callers());
        s.setSoTimeout(10_000);
        return s;
    }

    private String upload(byte[] body) throws IOException {
        try (Socket s = open(0)) {
            String head = HEAD + "content-length: " + body.length + "\r\n\r\n";
            s.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            s.getOutputStream().write(body);
            return new String(s.getInputStream().readNBytes(64), StandardCharsets.US_ASCII);
        }
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
