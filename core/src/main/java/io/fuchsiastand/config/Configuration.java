package io.fuchsiastand.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * One version of the configuration that operators edit.
 *
 * @param version the version number; a daemon never replaces its configuration by one with a lower version
 * @param services the services by name
 * @param plans the plans by name
 * @param teams the teams by name
 * @param limits the limits on the requests of callers
 */
public record Configuration(
        long version,
        Map<String, Service> services,
        Map<String, Plan> plans,
        Map<String, Team> teams,
        RequestLimits limits) {

    /** The empty configuration of a daemon that has not received one yet. */
    public static final Configuration EMPTY = builder().build();

    /** Copies the maps. */
    public Configuration {
        services = Map.copyOf(services);
        plans = Map.copyOf(plans);
        teams = Map.copyOf(teams);
    }

    /**
     * Returns the allowance of a team for a service.
     *
     * @param team the name of the team
     * @param service the name of the service, or {@link Plan#ALL_SERVICES}
     * @return the allowance, or nothing if the team is unknown or its plan has no allowance of this name
     */
    public Optional<Allowance> allowance(String team, String service) {
        Team t = teams.get(team);
        if (t == null) {
            return Optional.empty();
        }
        Plan p = plans.get(t.plan());
        return p == null ? Optional.empty() : Optional.ofNullable(p.allowances().get(service));
    }

    /**
     * Returns the names of the allowances that a call of a team to a service counts against.
     *
     * @param team the name of the team
     * @param service the name of the service
     * @return names to pass to {@link #allowance}: the service, {@link Plan#ALL_SERVICES}, or both; empty if the team
     *     is unknown or its plan does not include the service
     */
    public List<String> allowanceNamesFor(String team, String service) {
        Team t = teams.get(team);
        Plan p = t == null ? null : plans.get(t.plan());
        return p == null
                ? List.of()
                : Stream.of(service, Plan.ALL_SERVICES)
                        .filter(p.allowances()::containsKey)
                        .toList();
    }

    /**
     * Returns a copy with another version number.
     *
     * @param number the version number
     * @return the copy
     */
    public Configuration withVersion(long number) {
        return new Configuration(number, services, plans, teams, limits);
    }

    /**
     * Creates a builder.
     *
     * @return a builder of an empty configuration with version 0
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a configuration. */
    public static final class Builder {
        private final Map<String, Service> services = new TreeMap<>();
        private final Map<String, Plan> plans = new TreeMap<>();
        private final Map<String, Team> teams = new TreeMap<>();
        private long version;
        private RequestLimits limits = RequestLimits.DEFAULT;

        private Builder() {}

        /**
         * Sets the version.
         *
         * @param number the version number
         * @return this
         */
        public Builder version(long number) {
            version = number;
            return this;
        }

        /**
         * Sets the limits on the requests of callers.
         *
         * @param requestLimits the limits
         * @return this
         */
        public Builder limits(RequestLimits requestLimits) {
            limits = requestLimits;
            return this;
        }

        /**
         * Adds a service.
         *
         * @param service the service
         * @return this
         */
        public Builder service(Service service) {
            services.put(service.name(), service);
            return this;
        }

        /**
         * Adds a plan.
         *
         * @param plan the plan
         * @return this
         */
        public Builder plan(Plan plan) {
            plans.put(plan.name(), plan);
            return this;
        }

        /**
         * Adds a team.
         *
         * @param team the team
         * @return this
         */
        public Builder team(Team team) {
            teams.put(team.name(), team);
            return this;
        }

        /**
         * Builds the configuration.
         *
         * @return the configuration, which is not validated
         */
        public Configuration build() {
            return new Configuration(version, services, plans, teams, limits);
        }
    }
}
