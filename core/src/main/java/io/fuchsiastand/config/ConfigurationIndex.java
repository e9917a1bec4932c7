package io.fuchsiastand.config;

import java.util.List;

/**
 * The version of a configuration and the list of its chunks. Writing this object puts the configuration in force, so it
 * is written after the chunks.
 *
 * @param version the version of the configuration
 * @param chunks the digests of its chunks
 * @param previous the digests of the chunks of the preceding version, which are kept for daemons that still read them
 */
public record ConfigurationIndex(long version, List<String> chunks, List<String> previous) {

    /** The index before the first configuration is accepted. */
    public static final ConfigurationIndex NONE = new ConfigurationIndex(0, List.of(), List.of());
}
