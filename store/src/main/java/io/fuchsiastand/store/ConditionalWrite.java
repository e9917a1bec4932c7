package io.fuchsiastand.store;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/**
 * A conditional write that can be retried after its response was lost. The change id distinguishes a conflict with an
 * earlier attempt of the same write from a conflict with another writer.
 *
 * @param name the name of the object
 * @param value the new content of the object
 * @param expected the version that the object must have, or {@link StoredObject#ABSENT}
 * @param changeId the unique id of this write, the same in all attempts
 */
public record ConditionalWrite(String name, byte[] value, long expected, String changeId) {

    /**
     * Attempts the write once and, after a conflict, reads the object. A conflict counts as success if the stored object has
     * the change id of this write.
     *
     * @param store the store to write to
     * @return the version of the object after this write
     * @throws FuchsiastandException with {@link ErrorCode#CONFLICT} if another writer created or changed the object;
     *     {@link ErrorCode#UNRESOLVED} if the write expected a version and the object has been deleted; or
     *     {@link ErrorCode#PLATFORM_UNAVAILABLE} if the store did not respond or returned a server error, in which case the
     *     write may have taken effect
     */
    public long apply(ObjectStore store) {
        try {
            return store.put(name, value, expected, changeId);
        } catch (FuchsiastandException e) {
            if (e.code() != ErrorCode.CONFLICT) {
                throw e;
            }
            return resolveConflict(store, e);
        }
    }

    private long resolveConflict(ObjectStore store, FuchsiastandException conflict) {
        StoredObject stored = store.get(name).orElse(null);
        if (stored == null && expected != StoredObject.ABSENT) {
            throw new FuchsiastandException(
                    ErrorCode.UNRESOLVED,
                    name + " was deleted; it is unknown whether this write took effect before the deletion",
                    conflict);
        }
        if (stored != null && stored.changeId().equals(changeId)) {
            return stored.version();
        }
        throw conflict;
    }
}
