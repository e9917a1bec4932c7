package io.fuchsiastand.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Static analysis of a valid configuration: finds entries that can never match a request, and limits that contradict each
 * other.
 */
public final class ConfigurationAdvice {

    private final Configuration configuration;
    private final TomlFile teamsFile;
    private final TomlFile plansFile;
    private final Surroundings surroundings;
    private final Set<Plan> usedPlans;
    private final List<Problem> warnings = new ArrayList<>();

    private ConfigurationAdvice(
            Configuration configuration, TomlFile teamsFile, TomlFile plansFile, Surroundings surroundings) {
        this.surroundings = surroundings;
        this.configuration = configuration;
        this.teamsFile = teamsFile;
        this.plansFile = plansFile;
        Map<String, Plan> plans = configuration.plans();
        usedPlans = configuration.teams().values().stream()
                .map(Team::plan)
                .filter(plans::containsKey)
                .map(plans::get)
                .collect(Collectors.toSet());
    }

    /**
     * Analyses a configuration.
     *
     * @param configuration the configuration that {@link ConfigurationReader} read from the files, without problems
     * @param teamsFile the teams file
     * @param plansFile the plans file
     * @param surroundings the deployment in which it is to be applied
     * @return the findings with file and line; empty if there are none
     */
    public static List<Problem> warnings(
            Configuration configuration, TomlFile teamsFile, TomlFile plansFile, Surroundings surroundings) {
        ConfigurationAdvice a = new ConfigurationAdvice(configuration, teamsFile, plansFile, surroundings);
        configuration.services().values().stream()
                .sorted((x, y) -> x.name().compareTo(y.name()))
                .forEach(a::checkService);
        configuration.plans().values().stream()
                .sorted((x, y) -> x.name().compareTo(y.name()))
                .forEach(a::checkPlan);
        a.checkTeams();
        return a.warnings;
    }

    private void checkService(Service s) {
        String path = "services." + s.name();
        for (int i = 0; i < s.routes().size(); i++) {
            checkRoute(path + ".routes." + i, s.routes().get(i));
        }
        if (s.timeout().equals(Duration.ZERO)) {
            warn(
                    plansFile,
                    path + ".timeout",
                    "a request without a deadline of its own is always refused: the timeout is 0");
        }
        if (s.floor() == 1) {
            warn(
                    plansFile,
                    path + ".floor",
                    "failing backend servers of service '" + s.name() + "' stay in rotation: the floor is 1");
        }
        boolean needsPlan = s.routes().stream().anyMatch(r -> !r.open());
        if (needsPlan && usedPlans.stream().noneMatch(p -> allows(p, s.name()))) {
            warn(
                    plansFile,
                    path,
                    "no team may call service '" + s.name() + "': no plan of a team names it or '" + Plan.ALL_SERVICES
                            + "'");
        }
    }

    private void checkRoute(String path, Route r) {
        if (r.host().contains(":") || r.host().contains("/") || r.host().contains(" ")) {
            warn(
                    plansFile,
                    path + ".host",
                    "route " + r.host() + r.path()
                            + " never matches: the host of a request is compared without its port");
        }
        if (!r.host().equals(Route.ANY_HOST) && r.host().contains(Route.ANY_HOST)) {
            warn(
                    plansFile,
                    path + ".host",
                    "route " + r.host() + r.path() + " never matches: '" + Route.ANY_HOST
                            + "' stands only for any host");
        }
        if (r.path().contains("?") || r.path().contains("#")) {
            warn(
                    plansFile,
                    path + ".path",
                    "route " + r.host() + r.path() + " never matches: the path of a request ends before '?' and '#'");
        }
    }

    private void checkPlan(Plan p) {
        String path = "plans." + p.name();
        if (usedPlans.stream().noneMatch(u -> u.name().equals(p.name()))) {
            // A plan is written as a table for each of its services.
            String first = new TreeSet<>(p.allowances().keySet()).first();
            warn(plansFile, path + '.' + first, "no team has plan '" + p.name() + "'");
        }
        Allowance all = p.allowances().get(Plan.ALL_SERVICES);
        for (String name : new TreeSet<>(p.allowances().keySet())) {
            Allowance a = p.allowances().get(name);
            String entry = path + '.' + name;
            if (a.rate() == 0) {
                warn(
                        plansFile,
                        entry + ".rate",
                        "a team of plan '" + p.name() + "' is refused for good after " + a.burst()
                                + " calls: the rate is 0");
            }
            if (all != null && all != a && a.rate() > all.rate()) {
                warn(
                        plansFile,
                        entry + ".rate",
                        "the rate " + a.rate() + " is never reached: plan '" + p.name() + "' allows " + all.rate()
                                + " for all services together");
            }
            if (all != null && all != a && a.burst() > all.burst()) {
                warn(
                        plansFile,
                        entry + ".burst",
                        "the burst " + a.burst() + " is never reached: plan '" + p.name() + "' allows " + all.burst()
                                + " for all services together");
            }
            checkRoom(entry, name, a);
            Service s = configuration.services().get(name);
            if (s != null && s.routes().stream().allMatch(Route::open)) {
                warn(plansFile, entry, "the allowance is never used: all routes of service '" + name + "' are open");
            }
        }
    }

    private void checkTeams() {
        if (configuration.teams().isEmpty()) {
            warn(teamsFile, "", "there is no team, so that only open routes are served");
        }
        // A team gets its first key only after it was applied.
        surroundings.configuration().teams().keySet().stream()
                .filter(t -> configuration.teams().containsKey(t)
                        && !surroundings.keys().containsKey(t))
                .sorted()
                .forEach(t -> warn(
                        teamsFile, "teams." + t, "no request can be one of team '" + t + "': it has no valid key"));
    }

    // Calls beyond those that run or wait at the same time are refused, though the plan allows them.
    private void checkRoom(String entry, String name, Allowance a) {
        List<Service> services = configuration.services().values().stream()
                .filter(s -> name.equals(Plan.ALL_SERVICES) || name.equals(s.name()))
                .toList();
        // Of a service without backend servers, none may have started yet.
        if (!services.stream().allMatch(s -> surroundings.rooms().containsKey(s.name()))) {
            return;
        }
        long slots = 0;
        long places = 0;
        for (Service s : services) {
            Surroundings.Room room = surroundings.rooms().get(s.name());
            slots += room.slots();
            places += (long) room.servers() * s.queue();
        }
        if (a.burst() > slots + places) {
            warn(
                    plansFile,
                    entry + ".burst",
                    "a burst of " + a.burst() + " calls finds no room: "
                            + (name.equals(Plan.ALL_SERVICES) ? "all services run " : "service '" + name + "' runs ")
                            + slots + " at a time, and " + places + " can wait");
        }
    }

    private static boolean allows(Plan p, String service) {
        return p.allowances().containsKey(service) || p.allowances().containsKey(Plan.ALL_SERVICES);
    }

    private void warn(TomlFile file, String path, String message) {
        warnings.add(file.problemAt(path, message));
    }
}
