package io.fuchsiastand.daemon;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import io.fuchsiastand.standin.BackendServerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the calls to a backend server that states in its responses that it is about to leave, and renews its announcement. */
class LeavingBackendServerTest {

    // The rule on leaving backend servers: no call that a caller sends later than this after a daemon has passed on
    // such a
    // response reaches the backend server from that daemon.
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);
    private static final Duration OBSERVED_TIME = Duration.ofSeconds(5);

    private Fleet fleet;
    private BackendServerStandin leaving;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(2);
        leaving = fleet.startBackend(0, "leaving", "menu");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against calls to a backend server that states in its responses that it leaves (DRAIN).
    @Test
    void getsNoCallsOnceItsResponsesStateThatItLeaves() throws Exception {
        fleet.startBackend(1, "other", "menu");
        leaving.leave();
        long start = System.nanoTime();
        Fleet.await("a response states that the backend server leaves", () -> {
            call(0);
            call(1);
            return !leaving.callTimes().isEmpty() && leaving.callTimes().get(last()) >= start;
        });
        long stated = System.nanoTime();
        while (System.nanoTime() - stated < OBSERVED_TIME.toNanos()) {
            assertThat(call(0).statusCode()).isEqualTo(200);
            assertThat(call(1).statusCode()).isEqualTo(200);
            Thread.sleep(20);
        }
        assertThat(callsLaterThan(stated + DRAIN_TIME.toNanos())).isEmpty();
    }

    // Guards against calls to a leaving backend server after the daemon of its host has restarted and forgotten that it
    // leaves (DRAIN).
    @Test
    void getsNoCallsFromADaemonThatPassedOnItsResponseWhenTheDaemonOfItsHostRestarts() throws Exception {
        leaving.leave();
        assertThat(call(1).statusCode()).isEqualTo(200);
        long stated = System.nanoTime();
        fleet.daemons.get(0).close();
        fleet.restart(0);
        Fleet.await(
                "the restarted daemon has the backend server",
                () -> fleet.daemons.get(0).status().backends().stream().anyMatch(b -> b.id().equals("leaving")));
        while (System.nanoTime() - stated < DRAIN_TIME.plus(OBSERVED_TIME).toNanos()) {
            call(1);
            Thread.sleep(20);
        }
        assertThat(callsLaterThan(stated + DRAIN_TIME.toNanos())).isEmpty();
    }

    // Guards against a new process that gets no calls because an earlier one under its name has left.
    @Test
    void getsCallsAgainWhenAnotherProcessStartsUnderItsName() throws Exception {
        leaving.leave();
        call(1);
        leaving.close();
        BackendServerStandin next = fleet.startBackend(0, "leaving", "menu");
        Fleet.await("the new process gets calls", () -> call(1).statusCode() == 200 && next.callCount() > 0);
    }

    // Guards against a statement that counts for the wrong backend server, as the one at the address is another one.
    @Test
    void staysInRotationWhenAMisdirectedResponseStatesThatItsSenderLeaves() throws Exception {
        try (RawBackendServer raw = new RawBackendServer()) {
            fleet.announce(0, "raw", "till", raw.port());
            Fleet.await("the backend server is in the rotation", () -> fleet.daemons.get(1).status().backends().stream()
                    .anyMatch(b -> b.id().equals("raw") && b.weight() > 0));
            raw.response = "HTTP/1.1 421 Misdirected\r\nfuchsiastand-leaving: 1\r\nfuchsiastand-rate-limit: 0\r\n"
                    + "connection: close\r\ncontent-length: 0\r\n\r\n";
            assertThat(fleet.get(1, "/till", Fleet.ZERMATT_KEY).statusCode()).isEqualTo(421);
            raw.response = RawBackendServer.LAST_RESPONSE;
            for (int i = 0; i < 3; i++) {
                assertThat(fleet.get(1, "/till", Fleet.ZERMATT_KEY).statusCode())
                        .isEqualTo(200);
            }
        }
    }

    private int last() {
        return leaving.callTimes().size() - 1;
    }

    private List<Long> callsLaterThan(long nanos) {
        return leaving.callTimes().stream().filter(t -> t - nanos > 0).toList();
    }

    private HttpResponse<String> call(int daemon) {
        try {
            return fleet.get(daemon, "/open", null);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
