package io.fuchsiastand.tools;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.config.ConfigurationIndex;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.StoredObject;

/**
 * The configuration that is stored on the platform. The chunks are written first, each under the digest of its content.
 * The conditional update of the index then puts all of them in force at once.
 */
final class ConfigurationStore {

    private final ObjectStore store;

    ConfigurationStore(ObjectStore store) {
        this.store = store;
    }

    /**
     * A configuration that was read from the platform.
     *
     * @param index the index of the configuration
     * @param objectVersion the version of the object that holds the index, or {@link StoredObject#ABSENT}
     * @param configuration the configuration
     */
    record Current(ConfigurationIndex index, long objectVersion, Configuration configuration) {}

    /**
     * Reads the configuration in force.
     *
     * @return the configuration; it is empty and has version 0 if none is stored yet
     * @throws FuchsiastandException with {@link ErrorCode#CORRUPT} if a chunk is missing or cannot be parsed
     */
    Current read() {
        StoredObject o = store.get(ConfigurationCodec.INDEX_NAME).orElse(null);
        if (o == null) {
            return new Current(ConfigurationIndex.NONE, StoredObject.ABSENT, Configuration.EMPTY);
        }
        ConfigurationIndex index = Json.read(o.value(), ConfigurationIndex.class);
        List<byte[]> chunks = new ArrayList<>();
        for (String c : index.chunks()) {
            chunks.add(store.get(ConfigurationCodec.chunkName(c))
                    .orElseThrow(() -> new FuchsiastandException(
                            ErrorCode.CORRUPT, "chunk " + c + " of version " + index.version() + " is missing"))
                    .value());
        }
        return new Current(index, o.version(), ConfigurationCodec.join(index.version(), chunks));
    }

    /**
     * Stores a configuration and puts it in force.
     *
     * @param current the configuration that it replaces
     * @param next the new configuration
     * @return the version of the new configuration
     * @throws FuchsiastandException with {@link ErrorCode#CONFLICT} if another operator has replaced the current
     *     configuration in the meantime, or {@link ErrorCode#UNRESOLVED} if another operator has replaced it and this
     *     write may have taken effect before that
     */
    long replace(Current current, Configuration next) {
        Map<String, byte[]> chunks = ConfigurationCodec.split(next);
        Set<String> storedChunks = new HashSet<>(current.index().chunks());
        chunks.forEach((digest, bytes) -> {
            if (!storedChunks.contains(digest)) {
                writeChunk(digest, bytes);
            }
        });
        long version = current.index().version() + 1;
        ConfigurationIndex index = new ConfigurationIndex(
                version, List.copyOf(chunks.keySet()), current.index().chunks());
        store.put(
                ConfigurationCodec.INDEX_NAME,
                Json.write(index),
                current.objectVersion(),
                UUID.randomUUID().toString());
        removeUnusedChunks(current.index(), index);
        return version;
    }

    private void writeChunk(String digest, byte[] bytes) {
        try {
            store.put(
                    ConfigurationCodec.chunkName(digest),
                    bytes,
                    StoredObject.ABSENT,
                    UUID.randomUUID().toString());
        } catch (FuchsiastandException e) {
            // The object name is the digest of the content, so a conflict means that the same content is already
            // stored.
            if (e.code() != ErrorCode.CONFLICT && e.code() != ErrorCode.UNRESOLVED) {
                throw e;
            }
        }
    }

    // Keeps the chunks of the preceding version, because daemons may still be reading them.
    private void removeUnusedChunks(ConfigurationIndex before, ConfigurationIndex now) {
        Set<String> used = new HashSet<>(now.chunks());
        used.addAll(now.previous());
        for (String c : before.previous()) {
            if (!used.contains(c)) {
                String name = ConfigurationCodec.chunkName(c);
                store.get(name).ifPresent(o -> store.delete(name, o.version()));
            }
        }
    }
}
