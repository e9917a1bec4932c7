package io.fuchsiastand.store;

import java.util.List;

/**
 * The result of a list or a watch of objects at one revision of the platform.
 *
 * @param revision the revision; the next watch starts from it
 * @param objects the result of a list: all objects; the result of a watch: the latest state of each object that changed
 *     since the revision that the watch started from
 * @param expired whether the platform no longer has all changes since the revision that a watch started from, so that the
 *     code that watches must list the objects again
 */
public record ObjectsAtRevision(long revision, List<StoredObject> objects, boolean expired) {}
