package io.fuchsiastand.daemon;

import java.time.Duration;

import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests calls to the only backend server of a service that has refused connections for a while. */
class ReturningBackendServerTest {

    // The rule on the floor of a service counts the backend servers that get no call for 2 s.
    private static final Duration MAX_GAP = Duration.ofSeconds(2);
    private static final int AWAY_MILLIS = 6_000;
    private static final int PAUSE_MILLIS = 20;

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against a backend server that accepts connections again and gets no call while calls are refused (FLOOR).
    @Test
    void getsCallsSoonAfterItHasRefusedConnections() throws Exception {
        int port = Fleet.freePort();
        BackendServerStandin server = new BackendServerStandin("only", "menu", port);
        fleet.announce(0, "only", "menu", port);
        Fleet.await("calls are served", () -> status() == 200);
        server.close();
        long end = System.nanoTime() + Duration.ofMillis(AWAY_MILLIS).toNanos();
        while (System.nanoTime() < end) {
            status();
            Thread.sleep(PAUSE_MILLIS);
        }

        long start = System.nanoTime();
        try (BackendServerStandin again = new BackendServerStandin("only", "menu", port)) {
            Fleet.await("calls are served again", () -> status() == 200);
            assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_GAP);
        }
    }

    private int status() {
        try {
            return fleet.get(1, "/menu", Fleet.ZERMATT_KEY).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
