package io.fuchsiastand.daemon;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.fuchsiastand.standin.BackendFaults;
import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InFlightLimitTest {

    private static final int LIMIT = 4;

    // Guards against requests that fail because one of their calls is refused before requests that have not started.
    @Test
    void callsOfBackendServersAreServedWhileNewRequestsOfTeamsAreRefused() throws Exception {
        try (Fleet fleet = new Fleet(1, "most_in_flight = " + LIMIT)) {
            BackendServerStandin menu = fleet.startBackend(0, "menu-1", "menu", 2 * LIMIT);
            Fleet.await("the daemon grants calls", () -> status(fleet, "/menu", Fleet.ZERMATT_KEY) == 200);
            menu.setFaults(BackendFaults.slow(2000));
            List<CompletableFuture<HttpResponse<Void>>> running = new ArrayList<>();
            for (int i = 0; i < LIMIT; i++) {
                running.add(fleet.client.sendAsync(
                        fleet.request(0, "/menu", Fleet.ZERMATT_KEY).build(), HttpResponse.BodyHandlers.discarding()));
            }
            Fleet.await(
                    "the daemon is at its limit",
                    () -> fleet.daemons.get(0).status().inFlight() == LIMIT);
            assertThat(status(fleet, "/menu", Fleet.ZERMATT_KEY)).isEqualTo(503);
            assertThat(status(fleet, "/open", null)).isEqualTo(200);
            running.forEach(r -> assertThat(r.join().statusCode()).isEqualTo(200));
        }
    }

    private static int status(Fleet fleet, String path, String key) {
        try {
            return fleet.get(0, path, key).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
