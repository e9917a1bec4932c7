package io.fuchsiastand.store;

/**
 * An object that is stored on the platform.
 *
 * @param name the name of the object
 * @param version the revision of the platform at which the object was last written or deleted
 * @param value the content of the object, or null if the object was deleted
 * @param changeId the unique id of the write, by which a writer whose response was lost recognises its own write
 */
public record StoredObject(String name, long version, byte[] value, String changeId) {

    /** The version of an object that does not exist. */
    public static final long ABSENT = 0;

    /**
     * Returns whether the object was deleted.
     *
     * @return true if there is no value
     */
    public boolean isDeleted() {
        return value == null;
    }
}
