package io.fuchsiastand.routing;

import java.util.List;

/**
 * The record in which the daemon of a host publishes its backend servers to the fleet.
 *
 * @param host the name of the host
 * @param servers its backend servers
 */
public record HostRecord(String host, List<BackendServer> servers) {

    /** Prefix of the names of these records. */
    public static final String PREFIX = "host/";

    /** Copies the list of backend servers. */
    public HostRecord {
        servers = List.copyOf(servers);
    }
}
