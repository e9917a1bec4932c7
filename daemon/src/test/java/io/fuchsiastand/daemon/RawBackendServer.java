package io.fuchsiastand.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server without an HTTP library. It responds with bytes that the test sets. A connection carries one request if
 * {@link #closesAfterResponse} is set.
 */
final class RawBackendServer implements AutoCloseable {

    /** A complete response after which the backend server closes the connection, as it announces. */
    static final String LAST_RESPONSE = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";

    private static final int MAX_BLOCK_BYTES = 4096;
    // Without an announcement of the close, a client would reuse the connection in this time and get no response.
    private static final int CLOSE_DELAY_MILLIS = 100;

    private final ServerSocket server = new ServerSocket(0);
    /**
     * The bytes of each request; also "closed early" if the client closes the connection during the delay, and "broken: "
     * with the message of the exception if reading or writing fails.
     */
    final List<String> events = new CopyOnWriteArrayList<>();

    final AtomicInteger openConnections = new AtomicInteger();

    volatile String response = LAST_RESPONSE;
    volatile boolean closesAfterResponse = true;
    /** Bytes that follow the response again and again until the client closes the connection; none if empty. */
    volatile String endlessBytes = "";
    /** Bytes that precede the response to the next request on a connection that has carried a request before; none if empty. */
    volatile String bytesBeforeNextResponse = "";
    /** Whether it resets its connections instead of closing them. */
    volatile boolean resetsConnections;
    /** Whether it reads the body of a request before it responds. */
    volatile boolean readsBodies = true;
    /** The time in milliseconds between a request and its response. */
    volatile int delayMillis;

    RawBackendServer() throws IOException {
        Thread t = new Thread(this::serve, "raw-backend");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                openConnections.incrementAndGet();
                Thread t = new Thread(() -> handle(s), "raw-connection");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void handle(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean first = true;
            do {
                String request = read(in);
                if (request.isEmpty()) {
                    return;
                }
                events.add(request);
                if (delayMillis > 0 && isClosedWhileWaiting(socket, in)) {
                    events.add("closed early");
                    return;
                }
                if (!first) {
                    out.write(bytesBeforeNextResponse.getBytes(StandardCharsets.ISO_8859_1));
                }
                first = false;
                out.write(response.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (!endlessBytes.isEmpty()) {
                    writeEndlessly(out);
                }
            } while (!closesAfterResponse);
            Thread.sleep(CLOSE_DELAY_MILLIS);
            if (resetsConnections) {
                socket.setSoLinger(true, 0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            events.add("broken: " + e.getMessage());
        } finally {
            openConnections.decrementAndGet();
        }
    }

    private void writeEndlessly(OutputStream out) throws IOException {
        byte[] block = endlessBytes
                .repeat(Math.max(1, MAX_BLOCK_BYTES / endlessBytes.length()))
                .getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            out.write(block);
        }
    }

    private boolean isClosedWhileWaiting(Socket socket, InputStream in) throws IOException {
        socket.setSoTimeout(delayMillis);
        try {
            return in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    // Reads the head of a request and its body, whose end follows from the framing headers.
    private String read(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        while (b.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return "";
            }
            b.append((char) c);
        }
        if (!readsBodies) {
            return b.toString();
        }
        String head = b.toString().toLowerCase(Locale.ROOT);
        if (head.contains("transfer-encoding: chunked")) {
            while (b.charAt(b.length() - 1) != '\n'
                    || b.indexOf("\r\n0\r\n") < 0
                    || !b.toString().endsWith("\r\n\r\n")) {
                b.append((char) in.read());
            }
        } else if (head.contains("content-length: ")) {
            int start = head.indexOf("content-length: ") + 16;
            int length = Integer.parseInt(head.substring(start, head.indexOf("\r\n", start)));
            for (int i = 0; i < length; i++) {
                b.append((char) in.read());
            }
        }
        return b.toString();
    }
}
