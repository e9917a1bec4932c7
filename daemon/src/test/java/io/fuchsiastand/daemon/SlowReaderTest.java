package io.fuchsiastand.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests callers that read slowly, with a backend server that cuts off a response that stays unread for 2 s. */
class SlowReaderTest {

    // More than the buffers of all sockets on the way take.
    private static final int RESPONSE_BYTES = 24_000_000;
    private static final long BUDGET_BYTES = 64L << 20;
    private static final int MAX_UNREAD_MILLIS = 2_000;
    private static final int CROWD = 8;

    private final ServerSocket server = new ServerSocket(0);
    private final Timer cuts = new Timer(true);
    private Fleet fleet;

    SlowReaderTest() throws IOException {}

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2, "most_unfinished_mb = " + (BUDGET_BYTES >> 20) + "\n");
        fleet.announce(0, "raw", "menu", server.getLocalPort());
        Fleet.await("the backend server is in the rotation", () -> fleet.daemons.stream()
                .allMatch(d -> d.status().backends().stream().anyMatch(b -> b.id().equals("raw") && b.weight() > 0)));
        startThread(() -> {
            while (!server.isClosed()) {
                Socket s = server.accept();
                startThread(() -> respond(s));
            }
        });
    }

    @AfterEach
    void stop() throws Exception {
        cuts.cancel();
        server.close();
        fleet.close();
    }

    // Guards against a backend server that cuts off a response because the caller reads it slowly.
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void deliversTheWholeResponseToACallerThatReadsSlowly(int daemon) throws Exception {
        try (Socket s = open(daemon, "/menu/large")) {
            Thread.sleep(2 * MAX_UNREAD_MILLIS);
            assertThat(readResponse(s)).isEqualTo(RESPONSE_BYTES);
        }
    }

    // Guards against a response that is ready and not delivered because its deadline of 5 s passes meanwhile.
    @Test
    void deliversAResponseThatWasReadInTimeAlsoAfterItsDeadline() throws Exception {
        try (Socket s = open(1, "/menu/large")) {
            Thread.sleep(6_000);
            assertThat(readResponse(s)).isEqualTo(RESPONSE_BYTES);
        }
    }

    // Guards against slow readers that fill the memory of the host, or take the slots of the backend server (8).
    @Test
    void keepsACrowdOfSlowReadersWithinTheBudgetAndAnswersOthers() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try {
            for (int i = 0; i < CROWD; i++) {
                crowd.add(open(0, "/menu/large"));
            }
            for (int i = 0; i < 10; i++) {
                Thread.sleep(100);
                assertThat(metric("fuchsiastand_unread_bytes")).isAtMost((double) BUDGET_BYTES);
            }
            assertThat(metric("fuchsiastand_unread_bytes")).isAtLeast((double) BUDGET_BYTES / 4);
            assertThat(metric("fuchsiastand_connections_dropped_total")).isEqualTo(0);
            Fleet.await("the slots are free again", () -> {
                try {
                    return fleet.get(0, "/menu/small", Fleet.ZERMATT_KEY).statusCode() == 200;
                } catch (Exception e) {
                    return false;
                }
            });
        } finally {
            for (Socket s : crowd) {
                s.close();
            }
        }
        Fleet.await("the memory is free again", () -> metric("fuchsiastand_unread_bytes") == 0);
    }

    private double metric(String name) {
        try {
            String url = "http://127.0.0.1:" + fleet.settings.get(0).ports().admin() + "/metrics";
            String text = new String(URI.create(url).toURL().openStream().readAllBytes(), StandardCharsets.US_ASCII);
            return text.lines()
                    .filter(l -> l.startsWith(name + " "))
                    .mapToDouble(l -> Double.parseDouble(l.substring(name.length() + 1)))
                    .sum();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private Socket open(int daemon, String path) throws IOException {
        Socket s = new Socket();
        s.setReceiveBufferSize(16_384);
        s.setSoTimeout(20_000);
        s.connect(new InetSocketAddress(
                "127.0.0.1", fleet.settings.get(daemon).ports().callers()));
        s.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nhost: any\r\nauthorization: Bearer " + Fleet.ZERMATT_KEY
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return s;
    }

    // Returns the number of bytes of the body that are as they were sent, until the first one that is not.
    private static long readResponse(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        byte[] body = in.readNBytes(RESPONSE_BYTES);
        int i = 0;
        while (i < body.length && body[i] == (byte) (i % 251)) {
            i++;
        }
        return i;
    }

    private void respond(Socket socket) throws IOException {
        try (socket) {
            socket.setSendBufferSize(16_384);
            InputStream in = socket.getInputStream();
            StringBuilder request = new StringBuilder();
            for (int c = in.read(); c >= 0; c = in.read()) {
                request.append((char) c);
                if (request.indexOf("\r\n\r\n") >= 0) {
                    write(socket, request.indexOf("/small") >= 0 ? 10 : RESPONSE_BYTES);
                    request.setLength(0);
                }
            }
        }
    }

    private void write(Socket socket, int bytes) throws IOException {
        AtomicLong lastWrite = new AtomicLong(System.nanoTime());
        TimerTask cut = new TimerTask() {
            @Override
            public void run() {
                if (System.nanoTime() - lastWrite.get() > MAX_UNREAD_MILLIS * 1_000_000L) {
                    closeQuietly(socket);
                }
            }
        };
        cuts.schedule(cut, 100, 100);
        byte[] body = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            body[i] = (byte) (i % 251);
        }
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\ncontent-length: " + bytes + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < bytes; i += 10_000) {
            out.write(body, i, Math.min(10_000, bytes - i));
            lastWrite.set(System.nanoTime());
        }
        cut.cancel();
    }

    private static void closeQuietly(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // It is closed all the same.
            return;
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void startThread(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection was closed by its other end or by the test.
                return;
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
