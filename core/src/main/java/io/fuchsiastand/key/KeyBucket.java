package io.fuchsiastand.key;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The team keys whose digests hash to one bucket. Each bucket is stored as one object of the platform. There are several
 * buckets, so that concurrent changes by operators rarely conflict and each object stays small; the platform limits the
 * size of an object.
 *
 * @param keys the entries of the keys
 */
public record KeyBucket(List<KeyEntry> keys) {

    /** Prefix of the object names of buckets. */
    public static final String PREFIX = "keys/";
    /**
     * Prefix of the names of withdrawal records. A daemon creates one when an operator tells it to withdraw a key, and
     * daemons exchange it as gossip, also while the platform is unavailable.
     */
    public static final String WITHDRAWAL_PREFIX = "withdrawn/";
    /** Number of buckets. */
    public static final int COUNT = 64;
    /** A bucket without keys. */
    public static final KeyBucket EMPTY = new KeyBucket(List.of());

    /** Creates a bucket with a copy of the entries. */
    public KeyBucket {
        keys = List.copyOf(keys);
    }

    /**
     * Returns the name of the object that holds a key.
     *
     * @param digest the digest of the key
     * @return the object name
     */
    public static String objectNameFor(String digest) {
        return objectName((int) Math.floorMod(Digests.hash64(digest), (long) COUNT));
    }

    /**
     * Returns the name of the object that holds a bucket.
     *
     * @param bucket the number of the bucket
     * @return the object name
     */
    public static String objectName(int bucket) {
        return PREFIX + String.format(Locale.ROOT, "%02d", bucket);
    }

    /**
     * Returns a copy of the bucket that contains an entry. The entry replaces one with the same digest.
     *
     * @param entry the entry
     * @return the changed copy
     */
    public KeyBucket with(KeyEntry entry) {
        List<KeyEntry> out = new ArrayList<>(keys);
        out.removeIf(k -> k.digest().equals(entry.digest()));
        out.add(entry);
        return new KeyBucket(out);
    }
}
