package io.fuchsiastand.daemon.store;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationWatchTest {

    private final Settings settings = TestSettings.with("");
    private final Blackboard board = new Blackboard(settings, settings.ports(), new ManualClock());

    // Guards against a daemon that no longer follows the configuration because the thread that watches it has ended.
    @Test
    void goesOnAfterAnyErrorOfTheSource() {
        Queue<RuntimeException> errors = new ArrayDeque<>(List.of(
                new FuchsiastandException(ErrorCode.CONFIGURATION, "the configuration is invalid"),
                new IllegalStateException("an error in the source")));
        ConfigurationWatch[] watch = new ConfigurationWatch[1];
        watch[0] = new ConfigurationWatch(board, wait -> {
            if (!errors.isEmpty()) {
                throw errors.remove();
            }
            watch[0].stop();
            return Optional.of(Configuration.builder().version(7).build());
        });
        watch[0].run();

        assertThat(board.records()
                        .get(ConfigurationCodec.INDEX_NAME)
                        .orElseThrow()
                        .getVersion())
                .isEqualTo(7);
    }
}
