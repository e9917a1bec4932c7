package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.config.ConfigurationIndex;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.LastContact;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.store.RetryingObjectStore;
import org.tinylog.Logger;

/**
 * Watches a configuration source and stores its configurations as records. {@link ConfigurationController} treats them
 * like the records that peers send. Thus daemons that cannot reach the source receive the configuration from daemons
 * that can, and no older version replaces a newer one.
 */
public final class ConfigurationWatch {

    /** The maximum time that one request to the source waits for a change. */
    public static final Duration MAX_WAIT = Duration.ofSeconds(25);

    private static final int MAX_BACKOFF_STEP = 4;
    // A daemon that has a configuration receives changes from its peers meanwhile.
    private static final int MAX_BACKOFF_STEP_WITH_CONFIGURATION = 6;

    private final Blackboard board;
    private final ConfigurationSource source;
    private final SplittableRandom random = new SplittableRandom();
    private volatile boolean running = true;

    /**
     * Creates the watch.
     *
     * @param board the blackboard
     * @param source the source of the configuration
     */
    public ConfigurationWatch(Blackboard board, ConfigurationSource source) {
        this.board = board;
        this.source = source;
    }

    /** Watches the source until {@link #stop} is called. Blocks; runs on a thread of its own. */
    public void run() {
        int failures = 0;
        while (running) {
            try {
                Optional<Configuration> next = source.next(MAX_WAIT);
                recordContact();
                next.ifPresent(this::storeRecords);
                if (failures > 0) {
                    Logger.info("the configuration source answers again after {} failures", failures);
                }
                failures = 0;
            } catch (FuchsiastandException e) {
                recordUnavailable();
                if (failures++ == 0) {
                    Logger.warn(
                            "{} the configuration source failed: {}", e.code().code(), e.getMessage());
                }
                Pause.sleep(RetryingObjectStore.delay(Math.min(failures, maxBackoffStep()), random));
            } catch (RuntimeException e) {
                recordUnavailable();
                if (failures++ == 0) {
                    Logger.error(e, "an error in the daemon interrupted the watch of the configuration source");
                }
                Pause.sleep(RetryingObjectStore.delay(Math.min(failures, maxBackoffStep()), random));
            }
        }
    }

    /** Stops the loop after the request in progress. */
    public void stop() {
        running = false;
    }

    private int maxBackoffStep() {
        boolean configured = board.configuration().get().configuration().version() > 0;
        return configured ? MAX_BACKOFF_STEP_WITH_CONFIGURATION : MAX_BACKOFF_STEP;
    }

    private void storeRecords(Configuration c) {
        Map<String, byte[]> chunks = ConfigurationCodec.split(c);
        ConfigurationIndex index = new ConfigurationIndex(c.version(), List.copyOf(chunks.keySet()), List.of());
        // Before the chunks: when a peer completes an older version, the chunks that only this one uses would be
        // removed.
        put(ConfigurationCodec.INDEX_NAME, c.version(), Json.write(index));
        chunks.forEach((digest, bytes) -> put(ConfigurationCodec.chunkName(digest), 1, bytes));
    }

    private void put(String name, long version, byte[] value) {
        board.records().putWithoutGossip(RecordStore.record(name, version, value));
    }

    private void recordContact() {
        LastContact c = board.lastContact().get();
        board.lastContact().set(new LastContact(board.clock().nanoTime(), c.peerNanos(), true));
    }

    private void recordUnavailable() {
        LastContact c = board.lastContact().get();
        board.lastContact().set(new LastContact(c.platformNanos(), c.peerNanos(), false));
    }
}
