package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/** Shows the fleet as one daemon sees it. */
final class StatusCommand extends Command {

    @Option(name = "--daemon", metaVar = "HOST:PORT", usage = "the admin port of a daemon", required = true)
    private String daemon;

    @Override
    String summary() {
        return "show the fleet as one daemon sees it";
    }

    @Override
    void run(PrintStream out) {
        JsonNode s = DaemonClient.status(daemon);
        print(out, s, text(s));
    }

    private static String text(JsonNode s) {
        StringBuilder b = new StringBuilder();
        line(
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
        line(b, "members %s", states);
        s.path("members").forEach(m -> {
            if (!m.path("state").asText().equals("alive")) {
                line(
                        b,
                        "  %s in %s is %s",
                        m.path("host").asText(),
                        m.path("dataCentre").asText(),
                        m.path("state").asText());
            }
        });
        backends(b, s.path("backends"));
        shards(b, s);
        return b.toString().stripTrailing();
    }

    private static void shards(StringBuilder b, JsonNode s) {
        String host = s.path("host").asText();
        int holds = 0;
        int whole = 0;
        int stands = 0;
        for (JsonNode shard : s.path("shards")) {
            if (shard.path("holder").asText().equals(host)) {
                holds++;
                whole += shard.path("halves").asInt() == 2 ? 1 : 0;
            } else {
                stands++;
            }
        }
        line(b, "shards: holder of %d, of which %d grant in full; standby of %d", holds, whole, stands);
        s.path("shards").forEach(n -> {
            if (n.path("holder").asText().equals(host) && n.path("halves").asInt() < 2) {
                line(
                        b,
                        "  shard %d grants %d of 2 halves, epoch %d, standby %s",
                        n.path("shard").asInt(),
                        n.path("halves").asInt(),
                        n.path("epoch").asLong(),
                        n.path("standby").asText().isEmpty()
                                ? "none"
                                : n.path("standby").asText());
            }
        });
    }

    private static void backends(StringBuilder b, JsonNode list) {
        Map<String, int[]> services = new TreeMap<>();
        list.forEach(n -> {
            int[] counts = services.computeIfAbsent(n.path("service").asText(), k -> new int[2]);
            counts[0]++;
            counts[1] += n.path("weight").asDouble() > 0 ? 1 : 0;
        });
        services.forEach((name, c) -> line(b, "service %s: %d of %d backend servers in rotation", name, c[1], c[0]));
        list.forEach(n -> {
            if (!n.path("state").asText().equals("serving")) {
                line(
                        b,
                        "  %s on %s is %s, weight %.2f%s",
                        n.path("id").asText(),
                        n.path("host").asText(),
                        n.path("state").asText(),
                        n.path("weight").asDouble(),
                        n.path("severity").asDouble() > 0
                                ? ", " + n.path("severity").asInt() + " percent of its calls are bad"
                                : "");
            }
        });
    }

    private static void line(StringBuilder b, String format, Object... values) {
        b.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
