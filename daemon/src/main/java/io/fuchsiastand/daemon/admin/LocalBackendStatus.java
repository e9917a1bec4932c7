package io.fuchsiastand.daemon.admin;

import java.util.List;

import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.owner.LocalBackend;
import io.fuchsiastand.work.KindEstimate;
import io.fuchsiastand.work.WorkKind;

/**
 * The calls at a backend server of this host and the work that is expected of them, for operators.
 *
 * @param id its identifier
 * @param service the service that it belongs to
 * @param slots the maximum number of calls that run
 * @param running the number of calls that run
 * @param waiting the number of calls that wait for a slot
 * @param busyMillis the time for which its slots are expected to be busy with these calls and one more, in milliseconds; 0 if
 *     too few calls have ended
 * @param error the mean relative error of the estimates of all kinds
 * @param kinds the estimates by kind of call, the longest time first
 */
public record LocalBackendStatus(
        String id,
        String service,
        int slots,
        int running,
        int waiting,
        double busyMillis,
        double error,
        List<KindStatus> kinds) {

    /**
     * The estimate for a kind of call.
     *
     * @param route the host and path of the route, or a digest of it if the configuration in force has no such route
     * @param bodyLimit the length in bytes that all bodies of the kind stay below; 0 without a body, {@link Long#MAX_VALUE} if
     *     it is unknown
     * @param millis the mean time for which a call holds a slot, in milliseconds
     * @param spread the mean difference between a call and that time, divided by it
     * @param learned whether calls of the kind have ended here; if not, another daemon has stated the estimate
     */
    public record KindStatus(String route, long bodyLimit, double millis, double spread, boolean learned) {}

    static LocalBackendStatus of(LocalBackend b, Blackboard board) {
        LocalBackend.Announcement a = b.announcement();
        List<KindStatus> kinds = b.work().estimates().known().stream()
                .map(e -> statusOf(e, board))
                .toList();
        return new LocalBackendStatus(
                a.id(),
                a.service(),
                a.slots(),
                b.queue().running(),
                b.queue().waiting(),
                b.busyMillis(),
                b.work().estimates().relativeError(),
                kinds);
    }

    private static KindStatus statusOf(KindEstimate e, Blackboard board) {
        return new KindStatus(
                routeOf(e.kind(), board), e.kind().bodyLimit(), e.meanMillis(), e.relativeDeviation(), e.learned());
    }

    // The route may belong to another service, which divides its requests among several.
    private static String routeOf(WorkKind kind, Blackboard board) {
        for (Service s : board.configuration().get().configuration().services().values()) {
            for (Route r : s.routes()) {
                if (WorkKind.digestOf(r).equals(kind.route())) {
                    return r.host() + r.path();
                }
            }
        }
        return kind.route();
    }
}
