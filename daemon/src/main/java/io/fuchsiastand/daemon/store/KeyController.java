package io.fuchsiastand.daemon.store;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.KeyBucket;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.protocol.Record;
import org.tinylog.Logger;

/** Applies records of keys and of withdrawals to the key table. Reads the records and writes the key table. */
public final class KeyController {

    private final Blackboard board;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     */
    public KeyController(Blackboard board) {
        this.board = board;
    }

    /** Starts to listen for records. */
    public void start() {
        board.records().listen(this::onRecord);
    }

    private void onRecord(Record r) {
        if (r.getName().startsWith(KeyBucket.WITHDRAWAL_PREFIX)) {
            String digest = r.getName().substring(KeyBucket.WITHDRAWAL_PREFIX.length());
            if (board.keys().withdraw(digest)) {
                Logger.info("key {} is withdrawn", KeyEntry.idOf(digest));
            }
        } else if (r.getName().startsWith(KeyBucket.PREFIX)) {
            try {
                board.keys().update(r.getName(), Json.read(r.getValue().toByteArray(), KeyBucket.class));
            } catch (FuchsiastandException e) {
                Logger.error(
                        e,
                        "the keys in the record {} cannot be read; the keys of its earlier version stay in force",
                        r.getName());
            }
        }
    }
}
