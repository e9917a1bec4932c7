package io.fuchsiastand.daemon.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.config.ConfigurationIndex;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.ActiveConfiguration;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.replication.RecordStore;
import org.tinylog.Logger;

/**
 * Puts a configuration in force once its index and all its chunks are among the records. Never returns to a lower
 * version. Reads the records and writes the configuration section. Then notifies the directory of the new configuration
 * and removes the chunks that the newest index lists neither as current nor as previous.
 */
public final class ConfigurationController {

    private final Blackboard board;
    private ConfigurationIndex newestIndex = ConfigurationIndex.NONE;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     */
    public ConfigurationController(Blackboard board) {
        this.board = board;
    }

    /** Starts to listen for records. */
    public void start() {
        board.records().listen(this::onRecord);
    }

    /**
     * Lists the chunks that the newest index names and that are not among the records yet.
     *
     * @return the names of the records
     */
    public synchronized List<String> missingChunks() {
        List<String> out = new ArrayList<>();
        for (String c : newestIndex.chunks()) {
            String name = ConfigurationCodec.chunkName(c);
            if (board.records().get(name).isEmpty()) {
                out.add(name);
            }
        }
        return out;
    }

    private synchronized void onRecord(Record r) {
        boolean isIndex = r.getName().equals(ConfigurationCodec.INDEX_NAME);
        if (!isIndex && !r.getName().startsWith(ConfigurationCodec.CHUNK_PREFIX)) {
            return;
        }
        try {
            if (isIndex) {
                ConfigurationIndex next = Json.read(r.getValue().toByteArray(), ConfigurationIndex.class);
                if (next.version() > newestIndex.version()) {
                    newestIndex = next;
                }
            }
            activateIfComplete();
        } catch (FuchsiastandException e) {
            Logger.error(e, "a configuration cannot be read; version {} stays in force", version());
        }
    }

    private void activateIfComplete() {
        if (newestIndex.version() <= version()) {
            return;
        }
        List<byte[]> chunks = new ArrayList<>();
        for (String c : newestIndex.chunks()) {
            Optional<Record> r = board.records().get(ConfigurationCodec.chunkName(c));
            if (r.isEmpty()) {
                return;
            }
            chunks.add(r.get().getValue().toByteArray());
        }
        board.configuration().set(ActiveConfiguration.of(ConfigurationCodec.join(newestIndex.version(), chunks)));
        board.directory().updateAllWeights();
        removeUnusedChunks();
        // Gossip spreads this record at once, as it has no content. A daemon whose watch missed the change then fetches
        // the configuration from this one.
        board.putRecord(ConfigurationCodec.VERSION_NAME, newestIndex.version(), new byte[0]);
        Logger.info("configuration version {} is in force", newestIndex.version());
    }

    private void removeUnusedChunks() {
        Set<String> used = new HashSet<>();
        newestIndex.chunks().forEach(c -> used.add(ConfigurationCodec.chunkName(c)));
        newestIndex.previous().forEach(c -> used.add(ConfigurationCodec.chunkName(c)));
        RecordStore records = board.records();
        records.list(ConfigurationCodec.CHUNK_PREFIX).stream()
                .map(Record::getName)
                .filter(n -> !used.contains(n))
                .forEach(records::remove);
    }

    private long version() {
        return board.configuration().get().configuration().version();
    }
}
