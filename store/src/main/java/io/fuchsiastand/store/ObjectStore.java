package io.fuchsiastand.store;

import java.time.Duration;
import java.util.Optional;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/**
 * The objects that the platform stores. Every call blocks until the platform responds, and may fail with
 * {@link ErrorCode#PLATFORM_UNAVAILABLE}; a write that fails with this code may still have taken effect.
 */
public interface ObjectStore extends AutoCloseable {

    /** The maximum size of a value in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /**
     * Returns the era of the store, which rises each time it comes back with older objects. Writes of earlier eras may be lost
     * then, and versions and revisions are given out again.
     *
     * @return the era that the latest answer named; always 0 if the store names none
     */
    default long era() {
        return 0;
    }

    /**
     * Reads an object.
     *
     * @param name the name of the object
     * @return the object, or empty if it does not exist
     */
    Optional<StoredObject> get(String name);

    /**
     * Lists all objects whose names begin with a prefix.
     *
     * @param prefix the prefix
     * @return the objects and the revision at which they were read
     */
    ObjectsAtRevision list(String prefix);

    /**
     * Writes an object if it has the expected version.
     *
     * @param name the name of the object
     * @param value the new content
     * @param expected the version that the object must have, or {@link StoredObject#ABSENT} to create it
     * @param changeId the unique id of this write
     * @return the new version
     * @throws FuchsiastandException with {@link ErrorCode#CONFLICT} if the object does not have the expected version, also
     *     because it does not exist; or {@link ErrorCode#PLATFORM_ERROR} if the value is larger than
     *     {@link #MAX_VALUE_BYTES}
     */
    long put(String name, byte[] value, long expected, String changeId);

    /**
     * Deletes an object if it has the expected version.
     *
     * @param name the name of the object
     * @param expected the version that the object must have
     * @throws FuchsiastandException with {@link ErrorCode#CONFLICT} if the object has another version or does not exist
     */
    void delete(String name, long expected);

    /**
     * Waits for changes of the objects whose names begin with a prefix.
     *
     * @param prefix the prefix
     * @param from the revision after which changes are returned
     * @param wait the maximum time to wait for a change
     * @return the latest state of each object that changed; no objects if none changed in time. If the platform no
     *     longer has all changes since the revision, the result is marked as expired and has no objects
     */
    ObjectsAtRevision watch(String prefix, long from, Duration wait);

    /** Closes the connections of the store, if it has any. */
    @Override
    default void close() {}
}
