package io.fuchsiastand.daemon;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Calls, as bytes, to a fleet whose only backend server is on another host than the daemon that receives the calls. */
final class RawCalls implements AutoCloseable {

    static final String AUTH = "authorization: Bearer " + Fleet.ZERMATT_KEY + "\r\n";
    static final String POST =
            "POST /menu HTTP/1.1\r\nhost: any\r\nconnection: close\r\n" + AUTH + "content-length: 0\r\n\r\n";

    final RawBackendServer backend;
    private final Fleet fleet;

    RawCalls() throws Exception {
        fleet = new Fleet(2);
        backend = new RawBackendServer();
        fleet.announce(0, "raw", "menu", backend.port());
    }

    /** Waits until a call succeeds: after a failed one, the circuit breaker rejects calls that must not be repeated. */
    void reset() throws Exception {
        backend.response = RawBackendServer.LAST_RESPONSE;
        Fleet.await("a call succeeds", () -> {
            try {
                return exchange(POST).startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        });
        awaitNoConnections();
        backend.events.clear();
    }

    void awaitNoConnections() throws Exception {
        Fleet.await("the backend server has closed its connections", () -> backend.openConnections.get() == 0);
    }

    /** Sends a request and returns all that is received until the daemon closes the connection. */
    String exchange(String request) throws IOException {
        try (Socket s = connect()) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    Socket connect() throws IOException {
        Socket s = new Socket("127.0.0.1", fleet.settings.get(1).ports().callers());
        s.setSoTimeout(10_000);
        return s;
    }

    @Override
    public void close() throws Exception {
        fleet.close();
        backend.close();
    }
}
