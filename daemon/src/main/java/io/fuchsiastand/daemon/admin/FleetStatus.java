package io.fuchsiastand.daemon.admin;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.daemon.board.Scheduling;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.daemon.owner.LocalBackend;
import io.fuchsiastand.limit.UsableHalves;
import io.fuchsiastand.routing.Candidate;

/**
 * The state of the fleet as one daemon sees it, for operators.
 *
 * @param host the host of this daemon
 * @param dataCentre the data centre of the host
 * @param lifecycle the lifecycle state of this daemon
 * @param configurationVersion the version of the configuration in force
 * @param keys the number of valid team keys that the object store holds; keys in the configuration are not counted
 * @param relay whether this daemon is selected to watch the platform for its data centre; without meaning if the daemon
 *     reads its configuration from a configuration source
 * @param inFlight the number of requests of callers in flight at this daemon
 * @param scheduling which decisions this daemon makes by expected work
 * @param members the members of the fleet
 * @param backends the backend servers of the fleet
 * @param local the calls and the expected work at the backend servers of this host
 * @param spills the services whose calls this daemon also sends to other data centres for lack of room
 * @param shards the shards of which this daemon is the holder or the standby
 */
public record FleetStatus(
        String host,
        String dataCentre,
        Lifecycle lifecycle,
        long configurationVersion,
        int keys,
        boolean relay,
        int inFlight,
        Scheduling scheduling,
        List<MemberStatus> members,
        List<BackendStatus> backends,
        List<LocalBackendStatus> local,
        List<SpillStatus> spills,
        List<ShardStatus> shards) {

    /**
     * A member of the fleet.
     *
     * @param host the name of its host
     * @param dataCentre the data centre of the host
     * @param state its membership state as this daemon sees it, in lower case
     */
    public record MemberStatus(String host, String dataCentre, String state) {}

    /**
     * A backend server of the fleet.
     *
     * @param service the service that it belongs to
     * @param host the name of its host
     * @param id its identifier
     * @param slots the maximum number of calls that it runs concurrently
     * @param state its state as reported by the daemon on its host, in lower case
     * @param weight its weight in the rotation of this daemon, 0 (receives no calls) to 1
     * @param severity the moving average, at the time of its ejection, of the share of its calls that failed or were slow,
     *     in whole percent, at least 1; 0 while it is not ejected
     */
    public record BackendStatus(
            String service, String host, String id, int slots, String state, double weight, double severity) {}

    /**
     * A service whose calls find too little room in the data centre.
     *
     * @param service the service
     * @param shareKept the share of its calls that this daemon keeps in the data centre, 0 to 1
     */
    public record SpillStatus(String service, double shareKept) {}

    /**
     * A shard of which this daemon is the holder or the standby.
     *
     * @param shard the number of the shard
     * @param epoch the epoch of its shard entry
     * @param holder the host that grants requests
     * @param standby the host that owns the other half and lends it to the holder, or an empty string
     * @param halves the number of quota halves, 0 to 2, that this daemon may use now
     */
    public record ShardStatus(int shard, long epoch, String holder, String standby, int halves) {}

    /**
     * Creates the status of a daemon.
     *
     * @param board the blackboard of the daemon
     * @param limits the shard entries and leases of the daemon
     * @param local the backend servers of its host
     * @param relay whether the daemon is selected to watch the platform for its data centre
     * @param inFlight the number of requests of callers in flight at the daemon
     * @return the status
     */
    public static FleetStatus of(
            Blackboard board, LimitController limits, List<LocalBackend> local, boolean relay, int inFlight) {
        List<MemberStatus> members = board.members().all().stream()
                .map(m -> new MemberStatus(
                        m.host(), m.dataCentre(), m.state().name().toLowerCase(Locale.ROOT)))
                .toList();
        List<BackendStatus> backends = board.directory().services().stream()
                .sorted()
                .flatMap(s -> board.directory().candidates(s).stream())
                .map(FleetStatus::statusOf)
                .toList();
        List<SpillStatus> spills = board.directory().services().stream()
                .sorted()
                .flatMap(s -> board.directory().shareKept(s).stream().mapToObj(x -> new SpillStatus(s, x)))
                .toList();
        String self = board.settings().host();
        List<ShardStatus> shards = limits.entries().stream()
                .filter(e -> e.includes(self))
                .map(e -> {
                    UsableHalves halves = limits.usableHalves(e.shard());
                    return new ShardStatus(e.shard(), e.epoch(), e.holder(), e.standby(), halves.count());
                })
                .toList();
        return new FleetStatus(
                self,
                board.settings().dataCentre(),
                board.lifecycle().get(),
                board.configuration().get().configuration().version(),
                board.keys().size(),
                relay,
                inFlight,
                board.settings().scheduling(),
                members,
                backends,
                local.stream()
                        .sorted(Comparator.comparing(b -> b.announcement().id()))
                        .map(b -> LocalBackendStatus.of(b, board))
                        .toList(),
                spills,
                shards);
    }

    private static BackendStatus statusOf(Candidate c) {
        return new BackendStatus(
                c.server().service(),
                c.host(),
                c.server().id(),
                c.server().slots(),
                c.server().state().name().toLowerCase(Locale.ROOT),
                c.weight(),
                c.server().severity());
    }
}
