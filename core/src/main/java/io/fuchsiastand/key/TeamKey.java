package io.fuchsiastand.key;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.Locale;
import java.util.Optional;

/** Generates team keys and computes the digests of the keys in request headers. */
public final class TeamKey {

    private static final String PREFIX = "fsk_";
    private static final int SECRET_BYTES = 32;
    private static final int MAX_HEADER_LENGTH = 256;
    private static final String SCHEME = "bearer ";

    private TeamKey() {}

    /**
     * Generates a team key.
     *
     * @param random the cryptographically secure random number generator
     * @return the key, with 256 random bits
     */
    public static String generate(SecureRandom random) {
        byte[] bytes = new byte[SECRET_BYTES];
        random.nextBytes(bytes);
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    /**
     * Returns the digest of the team key in an Authorization header (RFC 6750, section 2.1).
     *
     * @param header the value of the header, or null
     * @return the digest, or empty if the header has no bearer token or is longer than 256 characters
     */
    public static Optional<String> digestFromHeader(CharSequence header) {
        if (header == null || header.length() > MAX_HEADER_LENGTH) {
            return Optional.empty();
        }
        String h = header.toString();
        if (!h.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            return Optional.empty();
        }
        String key = h.substring(SCHEME.length()).strip();
        return key.isEmpty() ? Optional.empty() : Optional.of(Digests.ofText(key));
    }
}
