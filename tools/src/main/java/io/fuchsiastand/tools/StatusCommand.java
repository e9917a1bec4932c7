package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/** Shows the status of the fleet as one daemon sees it. */
final class StatusCommand extends Command {

    private static final int MAX_KINDS = 10;
    private static final int PERCENT = 100;

    @Option(name = "--daemon", metaVar = "HOST:PORT", usage = "the admin port of a daemon", required = true)
    private String daemonAddress;

    @Override
    String summary() {
        return "show the status of the fleet as one daemon sees it";
    }

    @Override
    void run(PrintStream out) {
        JsonNode s = DaemonClient.status(daemonAddress);
        print(out, s, format(s));
    }

    private static String format(JsonNode s) {
        StringBuilder b = new StringBuilder();
        appendLine(
                b,
                "%s in %s is %s, configuration %d, %d keys%s",
                s.path("host").asText(),
                s.path("dataCentre").asText(),
                s.path("lifecycle").asText().toLowerCase(Locale.ROOT),
                s.path("configurationVersion").asLong(),
                s.path("keys").asLong(),
                s.path("relay").asBoolean() ? ", watches the platform" : "");
        Map<String, Integer> states = new TreeMap<>();
        s.path("members").forEach(m -> states.merge(m.path("state").asText(), 1, Integer::sum));
        appendLine(b, "members %s", states);
        s.path("members").forEach(m -> {
            if (!m.path("state").asText().equals("alive")) {
                appendLine(
                        b,
                        "  %s in %s is %s",
                        m.path("host").asText(),
                        m.path("dataCentre").asText(),
                        m.path("state").asText());
            }
        });
        appendBackends(b, s.path("backends"));
        appendWork(b, s);
        s.path("spills")
                .forEach(n -> appendLine(
                        b,
                        "service %s: %.0f%% of the calls stay in the data centre",
                        n.path("service").asText(),
                        100 * n.path("shareKept").asDouble()));
        appendShards(b, s);
        return b.toString().stripTrailing();
    }

    private static void appendWork(StringBuilder b, JsonNode s) {
        JsonNode on = s.path("scheduling");
        appendLine(
                b,
                "scheduling: by_work %s, deadline_order %s, admission %s",
                onOrOff(on.path("byWork")),
                onOrOff(on.path("deadlineOrder")),
                onOrOff(on.path("admission")));
        s.path("local").forEach(n -> {
            appendLine(
                    b,
                    "%s of this host, service %s: %d calls run in %d slots, %d wait, expected busy time %.0f ms",
                    n.path("id").asText(),
                    n.path("service").asText(),
                    n.path("running").asInt(),
                    n.path("slots").asInt(),
                    n.path("waiting").asInt(),
                    n.path("busyMillis").asDouble());
            int shown = 0;
            for (JsonNode k : n.path("kinds")) {
                if (shown < MAX_KINDS) {
                    appendKind(b, k);
                    shown++;
                }
            }
            int more = n.path("kinds").size() - shown;
            if (more > 0) {
                appendLine(b, "  and %d kinds of calls that take less time", more);
            }
        });
    }

    private static void appendKind(StringBuilder b, JsonNode k) {
        long limit = k.path("bodyLimit").asLong();
        String body = limit == 0
                ? "without a body"
                : limit == Long.MAX_VALUE ? "with a body of unknown length" : "with a body below " + limit + " bytes";
        appendLine(
                b,
                "  %s %s: %.0f ms, spread %.0f percent%s",
                k.path("route").asText(),
                body,
                k.path("millis").asDouble(),
                PERCENT * k.path("spread").asDouble(),
                k.path("learned").asBoolean() ? "" : ", stated by another daemon");
    }

    private static String onOrOff(JsonNode flag) {
        return flag.asBoolean() ? "on" : "off";
    }

    private static void appendShards(StringBuilder b, JsonNode s) {
        String host = s.path("host").asText();
        int held = 0;
        int bothHalvesUsable = 0;
        int standby = 0;
        for (JsonNode shard : s.path("shards")) {
            if (shard.path("holder").asText().equals(host)) {
                held++;
                bothHalvesUsable += shard.path("halves").asInt() == 2 ? 1 : 0;
            } else {
                standby++;
            }
        }
        appendLine(
                b,
                "shards: holder of %d, %d of them with both halves usable; standby of %d",
                held,
                bothHalvesUsable,
                standby);
        s.path("shards").forEach(n -> {
            if (n.path("holder").asText().equals(host) && n.path("halves").asInt() < 2) {
                appendLine(
                        b,
                        "  shard %d: this daemon can use %d of 2 halves, epoch %d, standby %s",
                        n.path("shard").asInt(),
                        n.path("halves").asInt(),
                        n.path("epoch").asLong(),
                        n.path("standby").asText().isEmpty()
                                ? "none"
                                : n.path("standby").asText());
            }
        });
    }

    private static void appendBackends(StringBuilder b, JsonNode list) {
        Map<String, int[]> services = new TreeMap<>();
        list.forEach(n -> {
            int[] counts = services.computeIfAbsent(n.path("service").asText(), k -> new int[2]);
            counts[0]++;
            counts[1] += n.path("weight").asDouble() > 0 ? 1 : 0;
        });
        services.forEach(
                (name, c) -> appendLine(b, "service %s: %d of %d backend servers in rotation", name, c[1], c[0]));
        list.forEach(n -> {
            if (!n.path("state").asText().equals("serving")) {
                appendLine(
                        b,
                        "  %s on %s is %s, weight %.2f%s",
                        n.path("id").asText(),
                        n.path("host").asText(),
                        n.path("state").asText(),
                        n.path("weight").asDouble(),
                        n.path("severity").asDouble() > 0
                                ? ", " + n.path("severity").asInt()
                                        + " percent (moving average) of its calls failed or were slow when it was ejected"
                                : "");
            }
        });
    }

    private static void appendLine(StringBuilder b, String format, Object... values) {
        b.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
