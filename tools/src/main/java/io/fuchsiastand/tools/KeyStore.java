package io.fuchsiastand.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.UnaryOperator;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.KeyBucket;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.StoredObject;

/**
 * The team keys that are stored on the platform. If several operators change a bucket concurrently, conditional writes
 * and their retries apply all changes, one after the other; a change whose write conflicts 20 times fails.
 */
final class KeyStore {

    private static final int MAX_TRIES = 20;

    private final ObjectStore store;

    KeyStore(ObjectStore store) {
        this.store = store;
    }

    /**
     * Lists all keys.
     *
     * @return the entries of all keys, including withdrawn keys
     */
    List<KeyEntry> list() {
        List<KeyEntry> out = new ArrayList<>();
        for (StoredObject o : store.list(KeyBucket.PREFIX).objects()) {
            out.addAll(Json.read(o.value(), KeyBucket.class).keys());
        }
        return out;
    }

    /**
     * Finds a key by its public ID.
     *
     * @param id the public ID
     * @return the entry of the key
     * @throws FuchsiastandException with {@link ErrorCode#NOT_FOUND} if no key has the ID
     */
    KeyEntry findById(String id) {
        return list().stream()
                .filter(k -> k.id().equals(id))
                .findFirst()
                .orElseThrow(() -> new FuchsiastandException(ErrorCode.NOT_FOUND, "no key has the ID " + id));
    }

    /**
     * Updates the bucket of a key. A write that conflicts with another one is retried with the changed bucket.
     *
     * @param digest the digest of the key
     * @param change returns the new content of the bucket; it is called again for each retry
     * @throws FuchsiastandException with {@link ErrorCode#CONFLICT} or {@link ErrorCode#UNRESOLVED} if 20 writes conflict
     */
    void updateBucket(String digest, UnaryOperator<KeyBucket> change) {
        String name = KeyBucket.objectNameFor(digest);
        for (int i = 1; ; i++) {
            StoredObject o = store.get(name).orElse(null);
            KeyBucket before = o == null ? KeyBucket.EMPTY : Json.read(o.value(), KeyBucket.class);
            KeyBucket after = change.apply(before);
            if (after.equals(before)) {
                return;
            }
            try {
                long version = o == null ? StoredObject.ABSENT : o.version();
                store.put(name, Json.write(after), version, UUID.randomUUID().toString());
                return;
            } catch (FuchsiastandException e) {
                boolean retryable = e.code() == ErrorCode.CONFLICT || e.code() == ErrorCode.UNRESOLVED;
                if (!retryable || i == MAX_TRIES) {
                    throw e;
                }
            }
        }
    }
}
