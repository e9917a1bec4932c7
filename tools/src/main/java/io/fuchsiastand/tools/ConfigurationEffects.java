package io.fuchsiastand.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.config.Team;

/** Lists what differs between two configurations, entry by entry, with what callers will see. */
final class ConfigurationEffects {

    private ConfigurationEffects() {}

    /**
     * Compares two configurations.
     *
     * @param before the configuration in force
     * @param after the new configuration
     * @return a line for each route, setting of a service, allowance and team that differs; it starts with {@code +} if the entry
     *     was added, {@code -} if it was dropped, or {@code ~} if it was changed
     */
    static List<String> lines(Configuration before, Configuration after) {
        List<String> out = new ArrayList<>();
        compare("route", routes(before), routes(after), out, ConfigurationEffects::routeEffect);
        compare("service", services(before), services(after), out, (a, b) -> "");
        compare("plan", allowances(before), allowances(after), out, ConfigurationEffects::allowanceEffect);
        compare("team", teams(before), teams(after), out, ConfigurationEffects::teamEffect);
        return out;
    }

    /** A route and the service that it leads to. */
    private record RouteEntry(String service, boolean open, String idempotency) {

        private static RouteEntry of(Service s, Route r) {
            return new RouteEntry(s.name(), r.open(), r.idempotency().name());
        }
    }

    private record ServiceEntry(String timeout, int queue, double floor, String detection) {}

    private static <T> void compare(
            String kind,
            Map<String, T> before,
            Map<String, T> after,
            List<String> out,
            BiFunction<T, T, String> effect) {
        for (EntryChange<T> c : EntryChange.between(before, after)) {
            String text = effect.apply(c.before(), c.after());
            out.add(c.line(kind) + (text.isEmpty() ? "" : "; " + text));
        }
    }

    private static String routeEffect(RouteEntry before, RouteEntry after) {
        if (before == null) {
            return "its requests go to service " + after.service();
        }
        if (after == null) {
            return "its requests go to a shorter route or get 404 (FS-4040)";
        }
        return before.open() && !after.open() ? "requests without a key get 401 (FS-4010)" : "";
    }

    private static String allowanceEffect(Allowance before, Allowance after) {
        if (before == null) {
            return "";
        }
        if (after == null) {
            return "its teams get 403 (FS-4030) unless their plan allows all services";
        }
        boolean isLower = after.rate() < before.rate() || after.burst() < before.burst();
        return isLower ? "its teams get 429 (FS-4290) sooner" : "";
    }

    private static String teamEffect(Team before, Team after) {
        return after == null ? "its requests get 403 (FS-4030)" : "";
    }

    private static Map<String, RouteEntry> routes(Configuration c) {
        Map<String, RouteEntry> out = new TreeMap<>();
        c.services().values().forEach(s -> s.routes().forEach(r -> out.put(r.host() + r.path(), RouteEntry.of(s, r))));
        return out;
    }

    private static Map<String, ServiceEntry> services(Configuration c) {
        Map<String, ServiceEntry> out = new TreeMap<>();
        c.services()
                .values()
                .forEach(s -> out.put(
                        s.name(),
                        new ServiceEntry(
                                s.timeout().toMillis() + "ms",
                                s.queue(),
                                s.floor(),
                                s.detection().name())));
        return out;
    }

    private static Map<String, Allowance> allowances(Configuration c) {
        Map<String, Allowance> out = new TreeMap<>();
        c.plans().values().forEach(p -> p.allowances()
                .forEach((service, a) -> out.put(p.name() + " for " + service, a)));
        return out;
    }

    private static Map<String, Team> teams(Configuration c) {
        Map<String, Team> out = new TreeMap<>();
        c.teams().values().forEach(t -> out.put(t.name(), t));
        return out;
    }
}
