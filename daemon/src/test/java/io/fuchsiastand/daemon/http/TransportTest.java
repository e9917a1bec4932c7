package io.fuchsiastand.daemon.http;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.time.Clock;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.transport.api.ServerContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static io.servicetalk.concurrent.api.Single.succeeded;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Peer and data ports accept only daemons that have a certificate which the authority signed. */
class TransportTest {

    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    @TempDir
    private Path folder;

    private Transport host;
    private Transport untrusted;
    private Transport plain;

    @BeforeEach
    void start() throws Exception {
        Certificates.create(folder, "host");
        Certificates.create(folder, "untrusted");
        host = new Transport(Optional.of(tls("host", "host")));
        // The untrusted daemon trusts the certificate of the host, but the host does not trust that of the untrusted
        // daemon.
        untrusted = new Transport(Optional.of(tls("untrusted", "host")));
        plain = new Transport(Optional.empty());
    }

    @AfterEach
    void stop() {
        host.close();
        untrusted.close();
        plain.close();
    }

    @Test
    void acceptsPeerCallsOfTrustedDaemonsOnly() throws Exception {
        Server server = host.peerServer(0, new PeerGrpc.PeerImplBase() {
            @Override
            public void probe(ProbeRequest request, StreamObserver<ProbeReply> out) {
                out.onNext(ProbeReply.newBuilder().setAcknowledged(true).build());
                out.onCompleted();
            }
        });
        assertThat(probe(host, server.getPort()).getAcknowledged()).isTrue();
        assertThrows(ExecutionException.class, () -> probe(untrusted, server.getPort()));
        assertThrows(ExecutionException.class, () -> probe(plain, server.getPort()));
        server.shutdownNow();
    }

    @Test
    void acceptsForwardedCallsOfTrustedDaemonsOnly() throws Exception {
        try (ServerContext server = host.dataServer(0, (c, r, f) -> succeeded(f.ok()))) {
            int port = ((InetSocketAddress) server.listenAddress()).getPort();
            assertThat(get(host, port)).isEqualTo(200);
            assertThrows(ExecutionException.class, () -> get(untrusted, port));
            assertThrows(ExecutionException.class, () -> get(plain, port));
        }
    }

    private static ProbeReply probe(Transport from, int port) throws Exception {
        try (Peers peers = new Peers(from, Clock.system())) {
            return peers.<ProbeReply>call(
                            LOOPBACK, port, TIMEOUT, (stub, o) -> stub.probe(ProbeRequest.getDefaultInstance(), o))
                    .get();
        }
    }

    private static int get(Transport from, int port) throws Exception {
        try (StreamingHttpClient client = from.dataClient(LOOPBACK, port)) {
            return client.request(client.get("/").setHeader("host", LOOPBACK))
                    .timeout(TIMEOUT)
                    .toFuture()
                    .get()
                    .status()
                    .code();
        }
    }

    private Settings.Tls tls(String own, String authority) {
        return new Settings.Tls(
                folder.resolve(own + ".pem"), folder.resolve(own + ".key"), folder.resolve(authority + ".pem"));
    }
}
