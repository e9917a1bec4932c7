package io.fuchsiastand.tools;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.sun.net.httpserver.HttpServer;

/** Serves given answers on the admin port of a daemon. */
final class DaemonStandin implements AutoCloseable {

    final List<URI> requests = new ArrayList<>();
    private final HttpServer server;

    DaemonStandin() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.start();
    }

    DaemonStandin answer(String path, String body) {
        server.createContext(path, x -> {
            requests.add(x.getRequestURI());
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            x.sendResponseHeaders(200, bytes.length);
            x.getResponseBody().write(bytes);
            x.close();
        });
        return this;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
