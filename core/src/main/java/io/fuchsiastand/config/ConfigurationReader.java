package io.fuchsiastand.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads and checks the two files that operators write. The teams file lists the teams and their plans; the plans file
 * lists the services and the plans: which services the teams of each plan may call, and at which rate. The problems of
 * both files are reported together. Teams are checked only if the plans file has no problem.
 */
public final class ConfigurationReader {

    private static final double MAX_RATE_OR_BURST = 1_000_000;
    private static final int MAX_QUEUE_LENGTH = 10_000;
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9_\\-]{0,62}";
    private static final Map<String, Detection> DETECTION_WORDS =
            new TreeMap<>(Map.of("careful", Detection.CAREFUL, "fast", Detection.FAST));
    private static final Map<String, Idempotency> IDEMPOTENCY_WORDS = new TreeMap<>(
            Map.of("by-method", Idempotency.BY_METHOD, "always", Idempotency.ALWAYS, "never", Idempotency.NEVER));

    private final TomlFile teamsFile;
    private final TomlFile plansFile;
    private final Configuration.Builder builder = Configuration.builder();
    private final Map<String, String> servicesByRoute = new HashMap<>();
    private final Set<String> serviceNames = new TreeSet<>();
    private final Set<String> planNames = new TreeSet<>();

    private ConfigurationReader(TomlFile teamsFile, TomlFile plansFile) {
        this.teamsFile = teamsFile;
        this.plansFile = plansFile;
    }

    /**
     * A configuration that was read. It may be used only if there are no problems.
     *
     * @param configuration the configuration, with version 0
     * @param problems the problems found in both files
     */
    public record Result(Configuration configuration, List<Problem> problems) {}

    /**
     * Reads the two files.
     *
     * @param teamsFile the teams file
     * @param plansFile the plans file
     * @return the configuration and the problems found
     */
    public static Result read(TomlFile teamsFile, TomlFile plansFile) {
        return new ConfigurationReader(teamsFile, plansFile).read();
    }

    private Result read() {
        if (plansFile.problems().isEmpty()) {
            readPlansFile();
        }
        if (teamsFile.problems().isEmpty() && plansFile.problems().isEmpty()) {
            readTeams();
        }
        List<Problem> problems = new ArrayList<>(plansFile.problems());
        problems.addAll(teamsFile.problems());
        return new Result(builder.build(), problems);
    }

    private void readPlansFile() {
        JsonNode root = plansFile.root();
        plansFile.checkKeys("", root, new TreeSet<>(Set.of("services", "plans")));
        plansFile.table("", root, "services").fields().forEachRemaining(e -> readService(e.getKey(), e.getValue()));
        plansFile.table("", root, "plans").fields().forEachRemaining(e -> readPlan(e.getKey(), e.getValue()));
        if (serviceNames.isEmpty()) {
            plansFile.addProblem("", "there is no service; add a table such as [services.menu]");
        }
    }

    private void readService(String name, JsonNode table) {
        String path = "services." + name;
        serviceNames.add(name);
        if (!isNameValid(plansFile, path, name)) {
            return;
        }
        plansFile.checkKeys(path, table, new TreeSet<>(Set.of("floor", "timeout", "queue", "detection", "routes")));
        List<Route> routes = new ArrayList<>();
        JsonNode list = table.path("routes");
        for (int i = 0; i < list.size(); i++) {
            routes.add(readRoute(name, path + ".routes." + i, list.get(i)));
        }
        if (routes.isEmpty()) {
            plansFile.addProblem(path, "service '" + name + "' has no route");
        }
        builder.service(new Service(
                name,
                plansFile.number(path, table, "floor", OptionalDouble.of(Service.DEFAULT_FLOOR), 0, 1),
                plansFile.duration(path, table, "timeout", Service.DEFAULT_TIMEOUT),
                (int) plansFile.number(
                        path, table, "queue", OptionalDouble.of(Service.DEFAULT_QUEUE), 0, MAX_QUEUE_LENGTH),
                plansFile.choice(path, table, "detection", DETECTION_WORDS, Detection.CAREFUL),
                routes));
    }

    private Route readRoute(String service, String path, JsonNode table) {
        plansFile.checkKeys(path, table, new TreeSet<>(Set.of("host", "path", "open", "idempotent")));
        String host = plansFile.text(path, table, "host", Route.ANY_HOST).toLowerCase(Locale.ROOT);
        String prefix = plansFile.text(path, table, "path", null);
        if (prefix == null) {
            prefix = "/";
        } else if (!prefix.startsWith("/") || prefix.contains("//") || prefix.contains("/.") || prefix.contains("%")) {
            plansFile.addProblem(path + ".path", "'path' must start with '/' and must not contain '//', '/.' or '%'");
        }
        if (prefix.length() > 1 && prefix.endsWith("/")) {
            prefix = prefix.substring(0, prefix.length() - 1);
        }
        String other = servicesByRoute.putIfAbsent(host + prefix, service);
        if (other != null) {
            plansFile.addProblem(path, "route " + host + prefix + " is already defined for service '" + other + "'");
        }
        return Route.of(
                host,
                prefix,
                plansFile.flag(path, table, "open", false),
                plansFile.choice(path, table, "idempotent", IDEMPOTENCY_WORDS, Idempotency.BY_METHOD));
    }

    private void readPlan(String name, JsonNode table) {
        String path = "plans." + name;
        planNames.add(name);
        if (!isNameValid(plansFile, path, name)) {
            return;
        }
        Map<String, Allowance> allowances = new TreeMap<>();
        if (!table.isObject() || table.isEmpty()) {
            plansFile.addProblem(path, "plan '" + name + "' must be a table that names at least one service");
        }
        table.fields().forEachRemaining(e -> {
            String p = path + "." + e.getKey();
            if (!serviceNames.contains(e.getKey()) && !e.getKey().equals(Plan.ALL_SERVICES)) {
                plansFile.addProblem(p, "plan '" + name + "' names an unknown service '" + e.getKey() + "'");
            }
            plansFile.checkKeys(p, e.getValue(), new TreeSet<>(Set.of("rate", "burst")));
            double rate = plansFile.number(p, e.getValue(), "rate", OptionalDouble.empty(), 0, MAX_RATE_OR_BURST);
            double burst = plansFile.number(p, e.getValue(), "burst", OptionalDouble.empty(), 1, MAX_RATE_OR_BURST);
            allowances.put(e.getKey(), new Allowance(rate, burst));
        });
        builder.plan(new Plan(name, allowances));
    }

    private void readTeams() {
        JsonNode root = teamsFile.root();
        teamsFile.checkKeys("", root, Set.of("teams"));
        teamsFile.table("", root, "teams").fields().forEachRemaining(e -> {
            String path = "teams." + e.getKey();
            if (!isNameValid(teamsFile, path, e.getKey())) {
                return;
            }
            teamsFile.checkKeys(path, e.getValue(), Set.of("plan"));
            String plan = teamsFile.text(path, e.getValue(), "plan", null);
            if (plan != null && !planNames.contains(plan)) {
                teamsFile.addProblem(path + ".plan", "team '" + e.getKey() + "' has an unknown plan '" + plan + "'");
            }
            builder.team(Team.of(e.getKey(), plan == null ? "" : plan));
        });
    }

    private static boolean isNameValid(TomlFile file, String path, String name) {
        if (name.matches(NAME_PATTERN)) {
            return true;
        }
        file.addProblem(
                path,
                "name '" + name
                        + "' must have 1 to 63 letters, digits, '-' or '_', and must start with a letter or digit");
        return false;
    }
}
