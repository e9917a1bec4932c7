package io.fuchsiastand.daemon;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.config.Surroundings;
import io.fuchsiastand.standin.BackendFaults;
import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

/** Tests what an operator can ask a daemon about the work of its backend servers, while calls run and wait. */
class WorkStatusTest {

    @Test
    void statesWhatRunsAndWaitsAndWhereTheNextCallWouldGoAndStand() throws Exception {
        try (Fleet fleet = new Fleet(1, "[scheduling]\nby_work = true\ndeadline_order = true\n")) {
            BackendServerStandin menu = fleet.startBackend(0, "menu-1", "menu", 1);
            menu.setFaults(BackendFaults.slow(100));
            for (int i = 0; i < 6; i++) {
                assertThat(fleet.get(0, "/open", null).statusCode()).isEqualTo(200);
            }
            menu.setFaults(BackendFaults.slow(1_500));
            CompletableFuture<HttpResponse<String>> running = get(fleet);
            Fleet.await("a call runs", () -> local(fleet).path("running").asInt() == 1);
            CompletableFuture<HttpResponse<String>> waiting = get(fleet);
            Fleet.await("a call waits", () -> local(fleet).path("waiting").asInt() == 1);

            JsonNode local = local(fleet);
            assertThat(local.path("busyMillis").asDouble()).isAtLeast(200);
            assertThat(local.path("kinds").size()).isEqualTo(1);
            assertThat(local.path("kinds").path(0).path("route").asText()).isEqualTo("*/open");
            assertThat(local.path("kinds").path(0).path("millis").asDouble()).isAtLeast(100);
            JsonNode scheduling = admin(fleet, "/status").path("scheduling");
            assertThat(scheduling.path("byWork").asBoolean()).isTrue();
            assertThat(scheduling.path("admission").asBoolean()).isFalse();

            JsonNode choice =
                    admin(fleet, "/explain?path=%2Fopen%2Fx").path("services").path(0);
            JsonNode candidate = choice.path("candidates").path(0);
            assertThat(choice.path("costMillis").asDouble()).isAtLeast(100);
            assertThat(candidate.path("drawn").asBoolean()).isTrue();
            assertThat(candidate.path("finishMillis").asDouble())
                    .isGreaterThan(choice.path("costMillis").asDouble());
            JsonNode position = choice.path("queues").path(0);
            assertThat(position.path("before").asInt()).isEqualTo(1);
            assertThat(position.path("waitMillis").asDouble()).isGreaterThan(0);

            assertThat(get(fleet, "/metrics")).containsMatch("fuchsiastand_expected_busy_ms\\{service=\"menu\"} [1-9]");
            running.join();
            waiting.join();
        }
    }

    @Test
    void tellsWhoeverChecksANewConfigurationWhatIsInForce() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.startBackend(0, "menu-1", "menu", 3);
            fleet.startBackend(0, "menu-2", "menu", 4);
            Surroundings known = Json.read(get(fleet, "/configuration").getBytes(UTF_8), Surroundings.class);
            assertThat(known.configuration().version()).isEqualTo(1);
            assertThat(known.configuration().services().keySet()).containsExactly("menu", "till");
            assertThat(known.keys()).containsExactly("zermatt", 1);
            assertThat(known.rooms()).containsExactly("menu", new Surroundings.Room(2, 7));
        }
    }

    private static CompletableFuture<HttpResponse<String>> get(Fleet fleet) {
        return fleet.client.sendAsync(fleet.request(0, "/open", null).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static JsonNode local(Fleet fleet) {
        return admin(fleet, "/status").path("local").path(0);
    }

    private static JsonNode admin(Fleet fleet, String pathAndQuery) {
        return Json.read(get(fleet, pathAndQuery).getBytes(UTF_8), JsonNode.class);
    }

    private static String get(Fleet fleet, String pathAndQuery) {
        int port = fleet.settings.get(0).ports().admin();
        HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + pathAndQuery))
                .build();
        return fleet.client
                .sendAsync(r, HttpResponse.BodyHandlers.ofString())
                .join()
                .body();
    }
}
