package io.fuchsiastand.daemon;

import java.net.http.HttpRequest;
import java.time.Duration;

import io.fuchsiastand.standin.BackendFaults;
import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests non-idempotent calls to the only backend server of a service after a faulty phase. */
class SuspectBackendServerTest {

    // The rule on the floor of a service counts the backend servers that get no call for 2 s.
    private static final Duration MAX_GAP = Duration.ofSeconds(2);

    private Fleet fleet;
    private BackendServerStandin server;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        server = fleet.startBackend(0, "only", "menu");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against a backend server that is well again and gets nothing while non-idempotent calls are refused
    // (FLOOR).
    @Test
    void getsNonIdempotentCallsSoonAfterAFaultyPhase() throws Exception {
        server.setFaults(new BackendFaults(100, 0, 0, 0, 0));
        for (int i = 0; i < 10; i++) {
            post();
        }
        server.setFaults(new BackendFaults(0, 1, 0, 0, 0));
        Fleet.await("a call is refused", () -> post() == 503);
        server.setFaults(BackendFaults.NONE);

        long start = System.nanoTime();
        long callsBefore = server.callCount();
        Fleet.await("the backend server gets a call", () -> {
            post();
            return server.callCount() > callsBefore;
        });
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_GAP);
    }

    private int post() {
        try {
            return fleet.send(fleet.request(1, "/menu", Fleet.ZERMATT_KEY)
                            .POST(HttpRequest.BodyPublishers.noBody())
                            .build())
                    .statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
