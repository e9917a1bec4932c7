package io.fuchsiastand.bench.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Copies the bytes of connections to a port on the loopback address and counts them. */
final class CountingRelay implements AutoCloseable {

    // IP and TCP headers with time stamps, for each segment that a read sees, and as much for its acknowledgement.
    private static final int HEADERS = 2 * 52;
    private static final int BUFFER = 65_536;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final AtomicLong bytes = new AtomicLong();

    CountingRelay(int target) throws IOException {
        start(() -> {
            while (!server.isClosed()) {
                Socket a = server.accept();
                Socket b = new Socket(InetAddress.getLoopbackAddress(), target);
                a.setTcpNoDelay(true);
                b.setTcpNoDelay(true);
                start(() -> copy(a, b));
                start(() -> copy(b, a));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    long bytes() {
        return bytes.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void copy(Socket from, Socket to) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER];
            int n = in.read(buffer);
            while (n >= 0) {
                bytes.addAndGet(n + HEADERS);
                out.write(buffer, 0, n);
                n = in.read(buffer);
            }
        }
    }

    /** Work that ends with its connection. */
    private interface Work {
        void run() throws IOException;
    }

    private static void start(Work work) {
        Thread t = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        // The connection is closed; the work is done.
                        Thread.yield();
                    }
                },
                "relay");
        t.setDaemon(true);
        t.start();
    }
}
