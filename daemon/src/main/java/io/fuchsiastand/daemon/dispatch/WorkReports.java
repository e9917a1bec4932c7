package io.fuchsiastand.daemon.dispatch;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.routing.Candidate;
import io.fuchsiastand.work.ServiceWork;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.http.api.HttpHeaders;

/**
 * Lets candidates be chosen by expected work if the settings say so: reads what the owners state with their answers and records
 * what this daemon sends.
 */
final class WorkReports {

    private final Blackboard board;
    private final boolean isOn;

    WorkReports(Blackboard board) {
        this.board = board;
        isOn = board.settings().scheduling().byWork();
    }

    /**
     * Returns the usual cost of a call.
     *
     * @param kind the kind of the call
     * @return milliseconds of slot time, or 0 if it is unknown or if candidates are chosen by the number of calls
     */
    double usualMillis(WorkKind kind) {
        return isOn ? board.directory().work(kind.service()).usualMillis(kind) : 0;
    }

    Optional<Candidate> pick(CallAttempts a) {
        return board.directory()
                .pick(a.service, a.tried, a.maxLocalUtilisation(), a.usualMillis, ThreadLocalRandom.current());
    }

    void begin(CallAttempts a, Candidate c) {
        if (isOn) {
            c.begin(a.usualMillis, board.clock().nanoTime());
        } else {
            c.begin();
        }
    }

    void recordFailure(Candidate c) {
        c.recordFailure(board.clock().nanoTime());
    }

    /**
     * Records what an answer states about the work of its backend server.
     *
     * @param kind the kind of the call that was answered
     * @param c the backend server
     * @param h the headers of the answer
     */
    void read(WorkKind kind, Candidate c, HttpHeaders h) {
        CharSequence busy = h.get(HeaderNames.BUSY);
        if (!isOn || busy == null) {
            return;
        }
        ServiceWork service = board.directory().work(kind.service());
        double cost = HeaderNames.parseDouble(h.get(HeaderNames.COST), 0);
        service.recordCost(kind, cost);
        c.recordWork(
                HeaderNames.parseDouble(busy, -1),
                cost,
                service.usualMillis(kind),
                board.clock().nanoTime());
    }
}
