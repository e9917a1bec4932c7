package io.fuchsiastand.daemon;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests changes by operators after the store of the product's own deployment has come back with older objects. */
class OlderStoreTest {

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        fleet.startBackend(0, "b0", "menu");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against a key that was given after the store came back older and is not accepted (CONFIG).
    @Test
    void acceptsAKeyThatIsGivenAfterTheStoreCameBackOlder() throws Exception {
        fleet.objects.makeCopy();
        for (int i = 0; i < 70; i++) {
            fleet.giveKey("zermatt", "lost-key-" + i);
        }
        Fleet.await("the keys that are lost later are accepted", () -> isAccepted("lost-key-69"));
        fleet.objects.restoreCopy();
        fleet.giveKey("zermatt", "later-key");
        Fleet.await("the key given after the store came back is accepted", () -> isAccepted("later-key"));
    }

    private boolean isAccepted(String key) {
        try {
            return fleet.get(1, "/menu", key).statusCode() == 200;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
