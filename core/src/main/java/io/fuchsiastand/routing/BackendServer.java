package io.fuchsiastand.routing;

import java.util.Objects;

/**
 * Description of a backend server that the daemon of its host publishes to the fleet.
 *
 * @param id its name, unique on its host
 * @param service the service it belongs to
 * @param slots maximum number of concurrent calls
 * @param state its state, as determined by the daemon of its host
 * @param weight share of its capacity that may be used now, 0 to 1; below 1 for a short time after it starts or returns
 *     from an ejection, and while it names a rate limit
 * @param severity severity of its fault, by which ingress daemons order ejected backend servers when they take them out
 *     of rotation; 0 while it is not ejected
 * @param incarnation number that distinguishes the processes that ran under the same name: the start time of the process
 *     in milliseconds since 1970 or, if it is not given, the time at which the daemon of its host added it
 */
public record BackendServer(
        String id, String service, int slots, BackendState state, double weight, double severity, long incarnation) {

    // Explicit, because the generated methods of a record are linked at run time, which is costly at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof BackendServer s
                && Objects.equals(id, s.id)
                && Objects.equals(service, s.service)
                && slots == s.slots
                && state == s.state
                && Double.compare(weight, s.weight) == 0
                && Double.compare(severity, s.severity) == 0
                && incarnation == s.incarnation;
    }

    @Override
    public int hashCode() {
        return 31 * Objects.hashCode(id) + Long.hashCode(incarnation);
    }
}
