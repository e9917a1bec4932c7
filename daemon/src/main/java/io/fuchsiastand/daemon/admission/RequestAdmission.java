package io.fuchsiastand.daemon.admission;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.fuchsiastand.admission.AdmissionControl;
import io.fuchsiastand.admission.CallGraph;
import io.fuchsiastand.admission.RoomEstimates;
import io.fuchsiastand.admission.RoomMeter;
import io.fuchsiastand.admission.RoomReport;
import io.fuchsiastand.daemon.edge.RoutedRequest;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.daemon.owner.BackendCall;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.time.Clock;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Refuses requests for backend servers of this host before they start if the calls that they make would find no room. The
 * owner decides, since the calls of its backend servers begin at this host too.
 */
public final class RequestAdmission {

    private static final long MIN_RETRY_AFTER_MILLIS = 500;
    private static final long RETRY_AFTER_SPREAD_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final boolean enabled;
    private final Clock clock;
    private final HeaderConventions conventions;
    private final RequestLog log;
    private final Metrics metrics;
    private final CallGraph graph;
    private final RoomEstimates room;
    private final AdmissionControl control;

    /**
     * Creates the admission of requests on this host.
     *
     * @param enabled whether requests are refused and room is published; if not, all methods are without effect
     * @param clock the clock
     * @param conventions the names of the headers that callers and backend servers use
     * @param log the log of decisions about requests
     * @param metrics the metrics of this daemon
     */
    public RequestAdmission(
            boolean enabled, Clock clock, HeaderConventions conventions, RequestLog log, Metrics metrics) {
        this.enabled = enabled;
        this.clock = clock;
        this.conventions = conventions;
        this.log = log;
        this.metrics = metrics;
        graph = new CallGraph(clock);
        room = new RoomEstimates(clock);
        control = new AdmissionControl(
                graph, room, clock, () -> ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Checks whether a request for a backend server of this host may start. Calls of running requests, repeated requests and
     * trial calls always may.
     *
     * @param call the request
     * @throws RefusalException if it may not
     */
    public void check(BackendCall call) {
        if (!enabled || call.isPartOfRequest() || call.retry() || call.lastResort() || call.trial()) {
            return;
        }
        Optional<AdmissionControl.Refusal> refusal = control.check(routeOf(call), call.team(), call.priority());
        if (refusal.isPresent()) {
            String service = refusal.get().service();
            log.write(
                    "refused before start",
                    conventions.requestIdOf(call.request().headers()),
                    "service",
                    call.service(),
                    "further down",
                    service,
                    "shortage",
                    refusal.get().shortage(),
                    "team",
                    call.team());
            metrics.recordRefusedBeforeStart(call.service());
            throw RefusalException.notSent(
                    ErrorCode.NO_ROOM_FOR_CALLS,
                    "service \"" + service + "\", which the request would call, has no room",
                    MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_AFTER_SPREAD_MILLIS));
        }
    }

    /**
     * Follows the wait of a call for a slot.
     *
     * @param <T> the type of the result
     * @param call the call
     * @param meter the meter of the backend server
     * @param wait completes when the call gets a slot, or with a {@link RefusalException}
     * @return a source with the same result
     */
    public <T> Single<T> measureRoom(BackendCall call, RoomMeter meter, Single<T> wait) {
        if (!enabled) {
            return wait;
        }
        return wait.beforeOnSuccess(x -> meter.record(call.urgency(), true))
                .beforeOnError(e -> meter.record(call.urgency(), false));
    }

    /**
     * Follows a request that a backend server of this host runs.
     *
     * @param call the request
     * @param response the response of the backend server
     * @return a source with the same result
     */
    public Single<StreamingHttpResponse> follow(BackendCall call, Single<StreamingHttpResponse> response) {
        if (!enabled) {
            return response;
        }
        CallGraph.Request running = graph.begin(routeOf(call), call.deadline());
        return response.afterFinally(() -> graph.end(running));
    }

    /**
     * Follows a call that enters the fleet at this host, if a backend server of this host makes it.
     *
     * @param call the call
     * @param service the service that it goes to
     * @param response the last response to it
     * @return a source with the same result
     */
    public Single<StreamingHttpResponse> followOutgoing(
            RoutedRequest call, String service, Single<StreamingHttpResponse> response) {
        if (!enabled || !call.isPartOfRequest()) {
            return response;
        }
        // The route may shorten the deadline that the backend server states.
        long statedMillis =
                HeaderNames.parseLong(call.request().headers().get(conventions.deadlineHeader()), Long.MAX_VALUE);
        long stated = clock.nanoTime() + Math.min(statedMillis, Integer.MAX_VALUE) * NANOS_PER_MILLI;
        graph.recordCall(service, stated);
        return response.beforeOnSuccess(r -> room.recordCall(service, !HeaderNames.isNotRun(r.headers())))
                .beforeOnError(e -> room.recordCall(service, !(e instanceof RefusalException r && r.isNotRun())));
    }

    /**
     * Publishes the room of a backend server with an answer, if calls found none lately.
     *
     * @param meter the meter of the backend server
     * @param h the headers of the answer
     */
    public void writeRoom(RoomMeter meter, HttpHeaders h) {
        String text = enabled ? meter.report().toText() : "";
        if (!text.isEmpty()) {
            h.set(HeaderNames.REFUSED_SHARES, text);
        }
    }

    /**
     * Stores what an answer says about the room of a backend server.
     *
     * @param service the service of the backend server
     * @param server identifies the backend server
     * @param h the headers of the answer of its owner
     */
    public void hear(String service, String server, HttpHeaders h) {
        if (enabled) {
            room.hear(service, server, RoomReport.parse(h.get(HeaderNames.REFUSED_SHARES)));
        }
    }

    private static String routeOf(BackendCall call) {
        return call.service() + '/' + call.kind().route();
    }
}
