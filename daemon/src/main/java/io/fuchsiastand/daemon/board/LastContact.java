package io.fuchsiastand.daemon.board;

/**
 * The times at which this daemon last had contact with the sources of keys and of the configuration. Before the first
 * contact, both times are the start of the daemon.
 *
 * @param platformNanos when the platform or the configuration source last answered this daemon, in nanoseconds of the
 *     monotonic clock
 * @param peerNanos when this daemon last received a message from a peer, in nanoseconds of the monotonic clock
 * @param isConfigurationSourceAvailable false after a request to the external configuration source failed, until the
 *     source answers again; always true if the daemon has no such source and reads the configuration from the object
 *     store
 */
public record LastContact(long platformNanos, long peerNanos, boolean isConfigurationSourceAvailable) {}
