package io.fuchsiastand.routing;

import java.util.List;

/**
 * The record in which the daemon of a host publishes which processes of its backend servers have left or are about to leave. It
 * outlasts a restart of that daemon, so that an announcement which such a process sent earlier and which arrives late does not
 * count as that of a new process.
 *
 * @param host the name of the host
 * @param processes the processes
 */
public record Departures(String host, List<Process> processes) {

    /** Prefix of the names of these records. */
    public static final String PREFIX = "left/";

    /**
     * A process of a backend server.
     *
     * @param id the name of the backend server
     * @param incarnation the start time of the process in milliseconds since 1970
     */
    public record Process(String id, long incarnation) {}

    /** Copies the list of processes. */
    public Departures {
        processes = List.copyOf(processes);
    }
}
