package io.fuchsiastand.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/** SHA-256 digests, names derived from them, and 64-bit hashes. */
public final class Digests {

    private static final int SHORT_DIGEST_BYTES = 16;
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

    private Digests() {}

    /**
     * Returns the SHA-256 digest of a byte array.
     *
     * @param bytes the bytes
     * @return the digest, 32 bytes
     */
    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }

    /**
     * Returns the SHA-256 digest of the UTF-8 bytes of a text.
     *
     * @param text the text
     * @return the digest as 43 base64url characters without padding
     */
    public static String ofText(String text) {
        return ENCODER.encodeToString(sha256(text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Returns the first half of the SHA-256 digest of a byte array. It serves as the name of the content.
     *
     * @param bytes the bytes
     * @return the truncated digest as 22 base64url characters without padding
     */
    public static String shortDigest(byte[] bytes) {
        return ENCODER.encodeToString(Arrays.copyOf(sha256(bytes), SHORT_DIGEST_BYTES));
    }

    /**
     * Compares two digests in constant time, so that the duration does not show where they differ.
     *
     * @param a the first digest
     * @param b the second digest
     * @return true if the digests are equal
     */
    public static boolean isEqual(String a, String b) {
        return MessageDigest.isEqual(a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a 64-bit hash of a text: FNV-1a over its characters, followed by {@link #mix}. The hash is the same in
     * every process.
     *
     * @param text the text
     * @return the hash
     */
    public static long hash64(CharSequence text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /**
     * Mixes the bits of a number with the finalizer of SplitMix64.
     *
     * @param value the number
     * @return a number in which each bit depends on all bits of the value
     */
    public static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
