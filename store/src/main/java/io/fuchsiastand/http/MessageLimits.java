package io.fuchsiastand.http;

import io.fuchsiastand.memory.SharedBuffer;

/**
 * Limits on the HTTP messages that a connection receives.
 *
 * @param sectionBytes the limit on a header or trailer section, in bytes
 * @param sectionLines the limit on the lines of a header or trailer section
 * @param bodyBytes the limit on a body in bytes, or {@link MessageSizeLimit#UNLIMITED}
 * @param keepsBodies whether a body is kept in memory until the response to it begins
 * @param buffer the memory of all connections for messages that are not complete
 */
public record MessageLimits(
        int sectionBytes, int sectionLines, long bodyBytes, boolean keepsBodies, SharedBuffer buffer) {

    /** The limit on the lines of a section unless another one is set. */
    public static final int DEFAULT_SECTION_LINES = 10_000;

    /**
     * Creates limits of a connection that shares its memory with no other one.
     *
     * @param sectionBytes the limit on a header or trailer section, in bytes
     * @param bodyBytes the limit on a body in bytes, or {@link MessageSizeLimit#UNLIMITED}
     * @return the limits
     */
    public static MessageLimits unshared(int sectionBytes, long bodyBytes) {
        return new MessageLimits(
                sectionBytes, DEFAULT_SECTION_LINES, bodyBytes, false, new SharedBuffer(Long.MAX_VALUE));
    }
}
