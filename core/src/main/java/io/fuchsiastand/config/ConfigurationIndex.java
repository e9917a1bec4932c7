package io.fuchsiastand.config;

import java.util.List;

/**
 * The object that makes a configuration current: its version and the digests of its parts.
 *
 * @param version the version of the configuration
 * @param chunks digests of the parts
 * @param previous digests of the parts of the version before, kept for daemons that are still reading it
 */
public record ConfigurationIndex(long version, List<String> chunks, List<String> previous) {

    /** The index before any configuration was accepted. */
    public static final ConfigurationIndex NONE = new ConfigurationIndex(0, List.of(), List.of());
}
