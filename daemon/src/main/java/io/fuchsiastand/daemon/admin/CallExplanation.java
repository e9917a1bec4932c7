package io.fuchsiastand.daemon.admin;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import io.fuchsiastand.admission.RoomReport;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Team;
import io.fuchsiastand.config.WeightedService;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.owner.LocalBackend;
import io.fuchsiastand.daemon.owner.SlotAdmission;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.queue.QueuePosition;
import io.fuchsiastand.queue.Submission;
import io.fuchsiastand.routing.Candidate;
import io.fuchsiastand.routing.RequestPath;
import io.fuchsiastand.routing.RouteMatch;
import io.fuchsiastand.routing.ServiceDirectory;
import io.fuchsiastand.work.WorkKind;

/**
 * How this daemon would choose a backend server for a request now, and where the request would stand in the queues of the backend
 * servers of this host.
 *
 * @param configurationVersion the version of the configuration by which the route was found
 * @param route the host and path of the route
 * @param byWork whether this daemon chooses by expected work
 * @param services the choice at each service that the request may go to; one, unless its route has a split
 */
public record CallExplanation(long configurationVersion, String route, boolean byWork, List<ServiceChoice> services) {

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * A request to explain.
     *
     * @param host its host without the port, or an empty string
     * @param path its path
     * @param team the name of the team that sends it, or an empty string on open routes
     * @param bodyBytes the length of its body in bytes, or {@link Long#MAX_VALUE} if it is unknown
     */
    public record Query(String host, String path, String team, long bodyBytes) {}

    /**
     * The choice at one service.
     *
     * @param service the name of the service
     * @param costMillis the usual cost of the call in milliseconds of slot time; 0 if the choice goes by the number of calls, since
     *     that is unknown or choice by work is off
     * @param candidates the backend servers of the service; those that are drawn now come first, and of these the best
     * @param queues the queues of the backend servers of this host
     */
    public record ServiceChoice(
            String service, double costMillis, List<CandidateStatus> candidates, List<QueueStatus> queues) {}

    /**
     * A backend server that may be chosen.
     *
     * @param id its identifier
     * @param host the name of its host
     * @param drawn whether the next call may go there: it is in rotation, no call failed there a short time ago, and its data
     *     centre is considered
     * @param finishMillis the time after which the call is expected to end there, in milliseconds; 0 if the choice goes by the
     *     number of calls
     * @param score the score by the number of calls; the lower of two that are drawn is chosen
     */
    public record CandidateStatus(String id, String host, boolean drawn, double finishMillis, double score) {}

    /**
     * Where the call would stand at a backend server of this host.
     *
     * @param id its identifier
     * @param before the number of waiting calls that would get a slot before it
     * @param waitMillis the expected time until it would get a slot, in milliseconds
     * @param refusal the error code with which the first owner that is asked would refuse it, or an empty string; FS-5031 means
     *     that the call would wait too long there and is sent elsewhere
     */
    public record QueueStatus(String id, int before, double waitMillis, String refusal) {}

    /**
     * Explains a request.
     *
     * @param board the blackboard of the daemon
     * @param local the backend servers of its host
     * @param q the request
     * @return the explanation, or empty if no route matches
     * @throws io.fuchsiastand.error.FuchsiastandException if the path is not valid
     */
    static Optional<CallExplanation> of(Blackboard board, List<LocalBackend> local, Query q) {
        Configuration c = board.configuration().get().configuration();
        return board.configuration()
                .get()
                .routes()
                .find(q.host(), RequestPath.parse(q.path()))
                .map(m -> new CallExplanation(
                        c.version(),
                        m.route().host() + m.route().path(),
                        board.settings().scheduling().byWork(),
                        servicesOf(m).map(s -> choose(board, local, q, m, s)).toList()));
    }

    private static Stream<String> servicesOf(RouteMatch m) {
        return m.route().split().isEmpty()
                ? Stream.of(m.service().name())
                : m.route().split().stream().map(WeightedService::service);
    }

    private static ServiceChoice choose(
            Blackboard board, List<LocalBackend> local, Query q, RouteMatch m, String service) {
        WorkKind kind = WorkKind.of(service, m.route(), q.bodyBytes());
        double cost = board.settings().scheduling().byWork()
                ? board.directory().work(service).usualMillis(kind)
                : 0;
        Set<Candidate> drawn = Set.copyOf(
                board.directory().choices(service, Set.of(), ServiceDirectory.maxLocalUtilisation(q.bodyBytes())));
        long now = board.clock().nanoTime();
        List<CandidateStatus> candidates = board.directory().candidates(service).stream()
                .map(c -> new CandidateStatus(
                        c.server().id(),
                        c.host(),
                        drawn.contains(c),
                        cost > 0 ? c.expectedFinishMillis(cost, now) : 0,
                        c.score()))
                .sorted(Comparator.comparing((CandidateStatus c) -> !c.drawn())
                        .thenComparing(CandidateStatus::finishMillis)
                        .thenComparing(CandidateStatus::score))
                .toList();
        List<QueueStatus> queues = local.stream()
                .filter(b -> b.announcement().service().equals(service))
                .map(b -> positionAt(b, q, m, kind, board))
                .toList();
        return new ServiceChoice(service, cost, candidates, queues);
    }

    private static QueueStatus positionAt(LocalBackend b, Query q, RouteMatch m, WorkKind kind, Blackboard board) {
        Route r = m.route();
        Duration timeout = r.policy().timeout().isZero()
                ? m.service().timeout()
                : r.policy().timeout();
        Duration target = r.policy().target().isZero() ? timeout : r.policy().target();
        long now = board.clock().nanoTime();
        Submission s = Submission.builder(q.team(), now + timeout.toNanos())
                .priority(priorityOf(q, r, board.configuration().get().configuration()))
                .target(now + Math.min(timeout.toNanos(), target.toNanos()))
                .expectedNanos((long) (b.work().estimates().expectedMillis(kind) * NANOS_PER_MILLI))
                .maxWaitNanos((long) (SlotAdmission.MAX_QUEUE_WAIT_SHARE * timeout.toNanos()))
                .build();
        QueuePosition p = b.queue().positionOf(s);
        return new QueueStatus(
                b.announcement().id(),
                p.before(),
                p.waitNanos() / NANOS_PER_MILLI,
                p.refusal().map(ErrorCode::code).orElse(""));
    }

    private static int priorityOf(Query q, Route r, Configuration c) {
        if (r.open()) {
            return RoomReport.CALLS;
        }
        Team t = c.teams().get(q.team());
        return t == null ? r.policy().priority() : t.priority();
    }
}
