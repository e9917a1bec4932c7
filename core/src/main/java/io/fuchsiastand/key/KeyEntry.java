package io.fuchsiastand.key;

import java.time.Instant;

/**
 * A team key as it is stored on the platform. Only the digest of the key is stored, never the key itself.
 *
 * @param digest base64url of the SHA-256 digest of the key
 * @param team the team the key belongs to
 * @param given the time at which the key was given to the team
 * @param withdrawn the time at which the key was withdrawn, or null while it is valid
 */
public record KeyEntry(String digest, String team, Instant given, Instant withdrawn) {

    /** The length of a public ID in characters. */
    public static final int ID_LENGTH = 12;

    /**
     * Returns the public ID of the key, which is the start of its digest.
     *
     * @return the ID, 12 characters
     */
    public String id() {
        return idOf(digest);
    }

    /**
     * Returns the public ID of a key, which is the start of its digest.
     *
     * @param digest the digest of the key
     * @return the ID, 12 characters or the whole digest if that is shorter
     */
    public static String idOf(String digest) {
        return digest.substring(0, Math.min(ID_LENGTH, digest.length()));
    }

    /**
     * Returns a copy of the entry that is withdrawn. A withdrawal is final, so an entry that is already withdrawn keeps its
     * withdrawal time.
     *
     * @param at the time of the withdrawal
     * @return the withdrawn entry
     */
    public KeyEntry withdraw(Instant at) {
        return withdrawn != null ? this : new KeyEntry(digest, team, given, at);
    }
}
