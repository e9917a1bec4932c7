package io.fuchsiastand.daemon;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests announcements at the admin port that cannot be read or that name impossible values. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OddAnnouncementTest {

    private Fleet fleet;

    @BeforeAll
    void start() throws Exception {
        fleet = new Fleet(1);
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against a daemon that ends, or that uses a backend server which does not exist, because of an odd
    // announcement.
    @ParameterizedTest
    @MethodSource("oddAnnouncements")
    void refusesAnAnnouncementThatIsOddAndGoesOn(String body) throws Exception {
        assertThat(post(body)).isEqualTo(400);
        assertThat(post(announcement("8080", "3", "1000"))).isEqualTo(200);
        assertThat(fleet.daemons.get(0).status().lifecycle().name()).isEqualTo("READY");
    }

    private static List<String> oddAnnouncements() {
        String tooLarge = "18446744073709551621";
        return List.of(
                "null",
                "[]",
                "{}",
                announcement("0", "3", "1000"),
                announcement("65536", "3", "1000"),
                announcement(tooLarge, "3", "1000"),
                announcement("8080", tooLarge, "1000"),
                announcement("8080", "3", tooLarge),
                announcement("8080", "3", "9".repeat(5_000)),
                announcement("8080", "3", "1e400"),
                announcement("8080", "3", "[".repeat(900) + "]".repeat(900)),
                announcement("8080", "3", "1000,\"x\":" + "[".repeat(5_000) + "]".repeat(5_000)),
                "[".repeat(15_000));
    }

    private static String announcement(String port, String slots, String born) {
        return "{\"id\":\"a\",\"service\":\"menu\",\"address\":\"127.0.0.1\",\"port\":" + port + ",\"slots\":" + slots
                + ",\"ttlSeconds\":5,\"born\":" + born + "}";
    }

    private int post(String body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + fleet.settings.get(0).ports().admin() + "/v1/backends");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return fleet.client
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }
}
