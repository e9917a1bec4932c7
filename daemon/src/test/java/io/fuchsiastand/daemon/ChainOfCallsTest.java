package io.fuchsiastand.daemon;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.fuchsiastand.standin.BackendFaults;
import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** The test makes the calls of the backend server: it sends them to the daemon of its host while requests run. */
class ChainOfCallsTest {

    private static final int REQUESTS = 20;
    private static final String TEAMS = "[teams.zermatt]\nplan = \"gold\"\n";
    private static final String PLANS =
            """
            [services.menu]
            [[services.menu.routes]]
            path = "/menu"
            [services.stock]
            queue = 0
            timeout = "30s"
            [[services.stock.routes]]
            path = "/stock"
            open = true
            [plans.gold.menu]
            rate = 10000
            burst = 1000
            """;

    // Guards against refusals that another owner is asked after, or that say not-run of a request that ran.
    @Test
    void requestsAreRefusedBeforeTheyRunWhenTheirCallsFindNoRoom() throws Exception {
        try (Fleet fleet = new Fleet(2, "[scheduling]\nadmission = true\n")) {
            fleet.publish(TEAMS, PLANS);
            Fleet.await("both daemons know the routes", () -> fleet.daemons.stream()
                    .allMatch(d -> d.status().configurationVersion() == 2));
            BackendServerStandin menu = fleet.startBackend(0, "menu-1", "menu", 2 * REQUESTS);
            BackendServerStandin stock = fleet.startBackend(1, "stock-1", "stock", 1);
            Fleet.await(
                    "both daemons serve",
                    () -> get(fleet, 0, "/stock").join().statusCode() == 200
                            && get(fleet, 1, "/menu").join().statusCode() == 200);
            stock.setFaults(BackendFaults.slow(20_000));
            long stockCalls = stock.callCount();
            CompletableFuture<HttpResponse<String>> occupying = get(fleet, 0, "/stock");
            Fleet.await("the only slot is taken", () -> stock.callCount() > stockCalls);
            menu.setFaults(BackendFaults.slow(500));
            List<CompletableFuture<HttpResponse<String>>> running = new ArrayList<>();
            long before = menu.callCount();
            for (int i = 0; i < REQUESTS; i++) {
                running.add(get(fleet, 1, "/menu"));
            }
            Fleet.await("the requests run", () -> menu.callCount() == before + REQUESTS);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(get(fleet, 0, "/stock").join().statusCode()).isEqualTo(503);
            }
            running.forEach(CompletableFuture::join);
            menu.setFaults(BackendFaults.NONE);

            long ran = menu.callCount();
            List<HttpResponse<String>> refused = new ArrayList<>();
            for (int i = 0; i < 2 * REQUESTS; i++) {
                get(fleet, 0, "/stock").join();
                HttpResponse<String> r = get(fleet, 1, "/menu").join();
                if (r.statusCode() != 200) {
                    refused.add(r);
                }
            }
            occupying.cancel(true);
            assertThat(refused).isNotEmpty();
            assertThat(menu.callCount()).isEqualTo(ran + 2 * REQUESTS - refused.size());
            for (HttpResponse<String> r : refused) {
                assertThat(r.body()).contains("FS-5043");
                assertThat(r.headers().firstValue("fuchsiastand-run-state")).hasValue("not-run");
                assertThat(r.headers().firstValue("retry-after")).isPresent();
            }
        }
    }

    private static CompletableFuture<HttpResponse<String>> get(Fleet fleet, int daemon, String path) {
        return fleet.client.sendAsync(
                fleet.request(daemon, path, Fleet.ZERMATT_KEY).build(), HttpResponse.BodyHandlers.ofString());
    }
}
