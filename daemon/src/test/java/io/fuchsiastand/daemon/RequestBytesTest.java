package io.fuchsiastand.daemon;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests the bound on what the requests in flight to a backend server take: 1 MB here. */
class RequestBytesTest {

    private Fleet fleet;
    private RawBackendServer backend;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(1, "most_backend_request_mb = 1\n");
        backend = new RawBackendServer();
        backend.delayMillis = 1_500;
        fleet.announce(0, "raw", "menu", backend.port());
        Fleet.await("the backend server is in the rotation", () -> fleet.daemons.get(0).status().backends().stream()
                .anyMatch(b -> b.id().equals("raw") && b.weight() > 0));
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
        backend.close();
    }

    // Guards against a backend server that crashes because the requests that it runs exceed its memory.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void refusesABodyForWhichTheOthersLeaveNoRoom(boolean isChunked) throws Exception {
        CompletableFuture<HttpResponse<String>> first = post(700_000, isChunked);
        Fleet.await("the first request runs", () -> backend.events.size() == 1);
        HttpResponse<String> second = post(700_000, false).get();
        assertThat(second.statusCode()).isEqualTo(503);
        assertThat(second.headers().firstValue("fuchsiastand-run-state").orElse(""))
                .isEqualTo("not-run");
        assertThat(fleet.get(0, "/menu/x", Fleet.ZERMATT_KEY).statusCode()).isEqualTo(200);
        assertThat(first.get().statusCode()).isEqualTo(200);
        assertThat(post(700_000, false).get().statusCode()).isEqualTo(200);
        assertThat(backend.events).hasSize(3);
    }

    @Test
    void runsABodyOverTheBoundWhenNoOtherIsInFlight() throws Exception {
        assertThat(post(1_500_000, false).get().statusCode()).isEqualTo(200);
    }

    private CompletableFuture<HttpResponse<String>> post(int bytes, boolean isChunked) {
        HttpRequest.BodyPublisher body =
                HttpRequest.BodyPublishers.ofByteArray("a".repeat(bytes).getBytes());
        return fleet.client.sendAsync(
                fleet.request(0, "/menu/x", Fleet.ZERMATT_KEY)
                        .POST(isChunked ? HttpRequest.BodyPublishers.fromPublisher(body) : body)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }
}
