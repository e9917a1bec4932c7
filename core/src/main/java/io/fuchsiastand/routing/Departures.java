package io.fuchsiastand.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The record in which the daemon of a host publishes which processes of its backend servers have left or are about to leave. It
 * outlasts a restart of that daemon, and in the store that of all daemons, so that an announcement which such a process sent earlier and which arrives late does not
 * count as that of a new process.
 *
 * @param host the name of the host
 * @param processes the processes
 */
public record Departures(String host, List<Process> processes) {

    /** Prefix of the names of these records, and of the objects in the store that hold them. */
    public static final String PREFIX = "left/";
    /** Maximum number of processes that a daemon publishes; the ones that left first are dropped. */
    public static final int MAX_PROCESSES = 64;

    /**
     * A process of a backend server.
     *
     * @param id the name of the backend server
     * @param incarnation the start time of the process in milliseconds since 1970
     */
    public record Process(String id, long incarnation) {}

    /**
     * Adds the processes of another record of this host.
     *
     * @param other the other record
     * @return a record with the latest process of each backend server that either record names
     */
    public Departures merge(Departures other) {
        Map<String, Long> latest = new HashMap<>();
        Stream.concat(processes.stream(), other.processes.stream())
                .forEach(p -> latest.merge(p.id(), p.incarnation(), Math::max));
        List<Process> all = latest.entrySet().stream()
                .map(e -> new Process(e.getKey(), e.getValue()))
                .sorted(Comparator.comparingLong(Process::incarnation).thenComparing(Process::id))
                .toList();
        return new Departures(host, all.subList(Math.max(0, all.size() - MAX_PROCESSES), all.size()));
    }

    /** Copies the list of processes. */
    public Departures {
        processes = List.copyOf(processes);
    }
}
