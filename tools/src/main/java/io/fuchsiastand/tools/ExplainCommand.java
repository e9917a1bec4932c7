package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.routing.RequestPath;
import io.fuchsiastand.routing.RouteMatch;
import io.fuchsiastand.routing.RouteTable;
import io.fuchsiastand.store.ObjectStore;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Explains which route, team and limit apply to a request, and which backend servers can receive it. */
final class ExplainCommand extends PlatformCommand {

    @Argument(index = 0, metaVar = "METHOD", usage = "the method, such as GET", required = true)
    private String method;

    @Argument(index = 1, metaVar = "PATH", usage = "the path, such as /menu/today", required = true)
    private String path;

    @Option(name = "--host", usage = "the Host header of the request, without the port")
    private String host = "";

    @Option(name = "--key", usage = "the team key of the request")
    private String key;

    @Option(
            name = "--daemon",
            metaVar = "HOST:PORT",
            usage = "the admin port of a daemon, to list the backend servers and how one would be chosen there")
    private String daemonAddress;

    @Option(
            name = "--body-bytes",
            metaVar = "N",
            usage =
                    "the length of the body of the request; with --daemon, its work is estimated for bodies of about this length")
    private long bodyBytes;

    /**
     * An explanation.
     *
     * @param steps the steps of processing the request, in order
     * @param code the code of the error with which the request is refused, or null if none of the checked steps
     *     refuses it; rate limits are never checked, and backend servers only with {@code --daemon}
     */
    record Result(List<String> steps, String code) {}

    @Override
    String summary() {
        return "explain which route, team and limit apply to a request and which backend servers can receive it";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        List<String> steps = new ArrayList<>();
        Configuration c = new ConfigurationStore(store).read().configuration();
        steps.add("configuration version " + c.version());
        ErrorCode refusal = explain(store, c, steps);
        if (refusal != null) {
            steps.add("refused with " + refusal.status() + " " + refusal.code() + ": " + refusal.title());
        }
        print(out, new Result(steps, refusal == null ? null : refusal.code()), String.join("\n", steps));
    }

    private ErrorCode explain(ObjectStore store, Configuration c, List<String> steps) {
        Optional<RouteMatch> found = new RouteTable(c).find(host, RequestPath.parse(path));
        if (found.isEmpty()) {
            return ErrorCode.NO_ROUTE;
        }
        RouteMatch m = found.get();
        String team = "";
        boolean idempotent = m.route().idempotency().isIdempotent(method);
        steps.add("route " + m.route().host() + m.route().path() + " to service "
                + m.service().name()
                + (idempotent ? ", idempotent" : ", not idempotent: sent again only if it has not run"));
        if (m.route().open()) {
            steps.add("the route is open: no key and no limit");
        } else {
            Optional<KeyEntry> entry = key == null
                    ? Optional.empty()
                    : new KeyStore(store)
                            .list().stream()
                                    .filter(k -> k.digest().equals(Digests.ofText(key)))
                                    .findFirst();
            if (entry.isEmpty() || entry.get().withdrawn() != null) {
                steps.add(
                        entry.isEmpty()
                                ? "the request has no key, or no such key exists"
                                : "the key was withdrawn at " + entry.get().withdrawn());
                return ErrorCode.UNKNOWN_KEY;
            }
            team = entry.get().team();
            steps.add("key " + entry.get().id() + " of team " + team);
            Optional<Allowance> a = c.allowance(team, m.service().name());
            if (a.isEmpty()) {
                return ErrorCode.NOT_IN_PLAN;
            }
            steps.add("plan " + c.teams().get(team).plan() + " allows "
                    + a.get().rate() + " a second, burst " + a.get().burst());
        }
        return explainBackends(m.service().name(), team, steps);
    }

    private ErrorCode explainBackends(String service, String team, List<String> steps) {
        if (daemonAddress == null) {
            return null;
        }
        int inRotation = 0;
        for (JsonNode n : DaemonClient.status(daemonAddress).path("backends")) {
            if (n.path("service").asText().equals(service)) {
                inRotation += n.path("weight").asDouble() > 0 ? 1 : 0;
                steps.add("backend server " + n.path("id").asText() + " on "
                        + n.path("host").asText() + ": " + n.path("state").asText() + ", weight "
                        + n.path("weight").asDouble());
            }
        }
        if (inRotation == 0) {
            return ErrorCode.NO_BACKEND;
        }
        Map<String, String> query = Map.of("host", host, "path", path, "team", team, "body", Long.toString(bodyBytes));
        DaemonClient.explain(daemonAddress, query)
                .ifPresent(e -> e.path("services").forEach(s -> explainChoice(e, s, steps)));
        return null;
    }

    private static void explainChoice(JsonNode explanation, JsonNode service, List<String> steps) {
        double cost = service.path("costMillis").asDouble();
        if (cost > 0) {
            steps.add(String.format(
                    Locale.ROOT,
                    "chosen by expected work: such a call usually holds a slot for %.0f ms, and the soonest expected end of"
                            + " three random backend servers is chosen",
                    cost));
        } else {
            steps.add(
                    "chosen by the number of calls and their latency: the lower score of two random backend servers, since "
                            + (explanation.path("byWork").asBoolean()
                                    ? "no cost of such calls is known yet"
                                    : "by_work is off"));
        }
        for (JsonNode c : service.path("candidates")) {
            if (c.path("drawn").asBoolean()) {
                steps.add(String.format(
                        Locale.ROOT,
                        cost > 0
                                ? "may be chosen: %s on %s, expected end after %.0f ms"
                                : "may be chosen: %s on %s, score %.2f",
                        c.path("id").asText(),
                        c.path("host").asText(),
                        c.path(cost > 0 ? "finishMillis" : "score").asDouble()));
            }
        }
        for (JsonNode q : service.path("queues")) {
            String refusal = q.path("refusal").asText();
            steps.add(String.format(
                    Locale.ROOT,
                    "queue of %s on the host of this daemon: %d calls before it, slot after %.0f ms%s",
                    q.path("id").asText(),
                    q.path("before").asInt(),
                    q.path("waitMillis").asDouble(),
                    refusal.isEmpty() ? "" : ", refused there with " + refusal));
        }
    }
}
