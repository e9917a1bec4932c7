package io.fuchsiastand.daemon;

import java.net.http.HttpRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests calls with large bodies that must not run twice. */
class UploadTest {

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        fleet.startBackend(1, "far", "menu");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against an upload that is lost because the first backend server cannot be reached. The one in the own data
    // centre, where nothing listens, is preferred.
    @Test
    void sendsAnUploadElsewhereWhenTheFirstBackendServerCannotBeReached() throws Exception {
        fleet.announce(0, "near", "menu", Fleet.freePort());
        Fleet.await("the backend server is in the rotation", () -> fleet.daemons.get(0).status().backends().stream()
                .anyMatch(b -> b.id().equals("near") && b.weight() > 0));
        HttpRequest upload = fleet.request(0, "/menu/upload", Fleet.ZERMATT_KEY)
                .POST(HttpRequest.BodyPublishers.ofString("candy floss ".repeat(20_000)))
                .build();

        for (int i = 0; i < 5; i++) {
            assertThat(fleet.send(upload).statusCode()).isEqualTo(200);
        }
    }
}
