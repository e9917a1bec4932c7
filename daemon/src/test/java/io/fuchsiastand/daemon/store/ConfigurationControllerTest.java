package io.fuchsiastand.daemon.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.config.ConfigurationIndex;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.config.Team;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationControllerTest {

    private static final int MAX_RECORDS = 5;

    private final Settings settings = TestSettings.with("");

    // Guards against a version that is never in force, because one from a peer was completed while it was stored
    // (CONFIG).
    @Test
    void putsTheVersionOfTheSourceInForceAlthoughAPeerCompletesAnOlderOneMeanwhile() {
        for (int i = 0; i < MAX_RECORDS; i++) {
            Blackboard board = new Blackboard(settings, settings.ports(), new ManualClock());
            AtomicInteger recordsBefore = new AtomicInteger(i);
            board.records().listen(r -> {
                if (recordsBefore.getAndDecrement() == 0) {
                    storeFromPeer(board, configuration(12, "zermatt"));
                }
            });
            new ConfigurationController(board).start();
            ConfigurationWatch[] watch = new ConfigurationWatch[1];
            watch[0] = new ConfigurationWatch(board, wait -> {
                watch[0].stop();
                return Optional.of(configuration(13, "locarno"));
            });
            watch[0].run();

            assertThat(board.configuration().get().configuration()).isEqualTo(configuration(13, "locarno"));
        }
    }

    private static void storeFromPeer(Blackboard board, Configuration c) {
        Map<String, byte[]> chunks = ConfigurationCodec.split(c);
        ConfigurationIndex index = new ConfigurationIndex(c.version(), List.copyOf(chunks.keySet()), List.of());
        board.records().put(RecordStore.record(ConfigurationCodec.INDEX_NAME, c.version(), Json.write(index)));
        chunks.forEach((digest, bytes) ->
                board.records().put(RecordStore.record(ConfigurationCodec.chunkName(digest), 1, bytes)));
    }

    private static Configuration configuration(long version, String team) {
        return Configuration.builder()
                .version(version)
                .team(new Team(team, team, 0, List.of()))
                .build();
    }
}
