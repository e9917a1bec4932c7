package io.fuchsiastand.daemon;

import java.time.Duration;

import io.fuchsiastand.standin.BackendFaults;
import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the calls to a backend server that was ejected and is well again. */
class EjectedBackendServerTest {

    // The rule on the floor of a service counts the backend servers that get no call for 2 s.
    private static final Duration MAX_GAP = Duration.ofSeconds(2);
    private static final Duration OBSERVED_TIME = Duration.ofSeconds(7);

    private Fleet fleet;
    private BackendServerStandin ejected;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        ejected = fleet.startBackend(0, "ejected", "menu");
        for (int i = 0; i < 4; i++) {
            fleet.startBackend(i % 2, "sound" + i, "menu");
        }
        Fleet.await("the ramp-up of all backend servers is over", () -> fleet.daemons.stream()
                .allMatch(d -> d.status().backends().stream().allMatch(b -> b.weight() == 1)));
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against a backend server that gets nothing while it is ejected, although it is well again (FLOOR).
    @Test
    void getsCallsAgainBeforeItsEjectionEnds() throws Exception {
        ejected.setFaults(new BackendFaults(0, 1, 0, 0, 0));
        Fleet.await("the failing backend server is ejected", () -> {
            callBothDaemons();
            return fleet.daemons.stream().allMatch(d -> d.status().backends().stream()
                    .anyMatch(b -> b.id().equals("ejected") && b.weight() == 0));
        });
        ejected.setFaults(BackendFaults.NONE);

        long start = System.nanoTime();
        long lastCall = start;
        long longestGap = 0;
        long calls = ejected.callCount();
        while (System.nanoTime() - start < OBSERVED_TIME.toNanos()) {
            callBothDaemons();
            long now = System.nanoTime();
            if (ejected.callCount() > calls) {
                calls = ejected.callCount();
                lastCall = now;
            }
            longestGap = Math.max(longestGap, now - lastCall);
        }
        assertThat(isEjected()).isTrue();
        assertThat(Duration.ofNanos(longestGap)).isLessThan(MAX_GAP);
    }

    private boolean isEjected() {
        return fleet.daemons.get(0).status().backends().stream()
                .anyMatch(b -> b.id().equals("ejected") && b.state().equals("ejected"));
    }

    private void callBothDaemons() {
        try {
            for (int i = 0; i < 2; i++) {
                fleet.get(i, "/menu", Fleet.ZERMATT_KEY);
            }
            Thread.sleep(10);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
