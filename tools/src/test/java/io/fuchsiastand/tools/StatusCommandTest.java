package io.fuchsiastand.tools;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StatusCommandTest {

    private static final String STATUS =
            """
            {"scheduling":{"byWork":true,"deadlineOrder":true,"admission":false},
             "local":[{"id":"menu-1","service":"menu","slots":4,"running":4,"waiting":2,"busyMillis":412.3,"kinds":[
               {"route":"*/menu","bodyLimit":0,"millis":200,"spread":0.25,"learned":true},
               {"route":"*/open","bodyLimit":4096,"millis":120,"spread":0,"learned":false}]}]}
            """;

    @Test
    void showsWhatRunsAndWaitsAtTheBackendServersOfTheHostAndWhatCallsCost() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DaemonStandin daemon = new DaemonStandin().answer("/status", STATUS)) {
            String[] args = {"status", "--daemon", daemon.address()};
            assertThat(Fuchsiactl.run(args, new PrintStream(out, true), System.err))
                    .isEqualTo(0);
        }
        String text = out.toString(StandardCharsets.UTF_8);
        assertThat(text).contains("scheduling: by_work on, deadline_order on, admission off");
        assertThat(text)
                .contains(
                        "menu-1 of this host, service menu: 4 calls run in 4 slots, 2 wait, expected busy time 412 ms");
        assertThat(text).contains("  */menu without a body: 200 ms, spread 25 percent\n");
        assertThat(text)
                .contains(
                        "  */open with a body below 4096 bytes: 120 ms, spread 0 percent, stated by another daemon\n");
    }
}
