package io.fuchsiastand.key;

import java.time.Instant;

/**
 * A team key as the platform holds it. The key itself is never stored.
 *
 * @param digest base64url of the SHA-256 digest of the key
 * @param team the team the key belongs to
 * @param given when it was given
 * @param withdrawn when it was withdrawn, or null while it works
 */
public record KeyEntry(String digest, String team, Instant given, Instant withdrawn) {

    private static final int ID_LENGTH = 12;

    /**
     * Returns the public name of the key, the start of its digest.
     *
     * @return 12 characters
     */
    public String id() {
        return idOf(digest);
    }

    /**
     * Returns the public name of a key.
     *
     * @param digest the digest of the key
     * @return 12 characters
     */
    public static String idOf(String digest) {
        return digest.substring(0, Math.min(ID_LENGTH, digest.length()));
    }

    /**
     * Returns the entry as withdrawn. A withdrawal is final, so a withdrawn entry stays as it is.
     *
     * @param at when
     * @return the withdrawn entry
     */
    public KeyEntry withdraw(Instant at) {
        return withdrawn != null ? this : new KeyEntry(digest, team, given, at);
    }
}
