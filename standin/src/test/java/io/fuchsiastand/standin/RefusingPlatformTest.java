package io.fuchsiastand.standin;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.HttpObjectStore;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests the client of the default object API with a platform that refuses connections. */
class RefusingPlatformTest {

    private static final int REFUSED_CALLS = 20;

    // Guards against a client that fails calls without a connection attempt after the platform has come back (CONFIG).
    @Test
    void reachesThePlatformWithTheFirstCallAfterItsReturn() throws Exception {
        int port = freePort();
        try (HttpObjectStore store = new HttpObjectStore("127.0.0.1", port, Duration.ofSeconds(1))) {
            for (int i = 0; i < REFUSED_CALLS; i++) {
                FuchsiastandException e = assertThrows(FuchsiastandException.class, () -> store.get("config/index"));
                assertThat(e.code()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
            }
            try (PlatformStandin platform = new PlatformStandin("127.0.0.1", port, new MemoryObjectStore())) {
                assertThat(platform.port()).isEqualTo(port);
                assertThat(store.get("config/index")).isEmpty();
            }
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }
}
