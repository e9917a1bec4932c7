package io.fuchsiastand.routing;

import java.util.List;

/**
 * The record that the daemon of a host writes for the fleet.
 *
 * @param host the name of the host
 * @param servers its backend servers
 */
public record HostRecord(String host, List<BackendServer> servers) {

    /** Prefix of the names of these records. */
    public static final String PREFIX = "host/";

    /** Copies the servers. */
    public HostRecord {
        servers = List.copyOf(servers);
    }
}
