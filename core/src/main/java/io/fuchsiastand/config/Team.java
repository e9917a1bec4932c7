package io.fuchsiastand.config;

import java.util.List;

/**
 * A team and its plan.
 *
 * @param name the name of the team
 * @param plan the name of its plan
 * @param priority the priority of the team's requests, which overrides the priority of the route; 0 is the most urgent
 * @param keyDigests the digests of the team keys that the configuration contains; keys that are issued outside the
 *     configuration are stored in key records
 */
public record Team(String name, String plan, int priority, List<String> keyDigests) {

    /** Copies the digests. */
    public Team {
        keyDigests = keyDigests == null ? List.of() : List.copyOf(keyDigests);
    }

    /**
     * Creates a team whose keys are all issued outside the configuration.
     *
     * @param name the name of the team
     * @param plan the name of its plan
     * @return the team
     */
    public static Team of(String name, String plan) {
        return new Team(name, plan, 0, List.of());
    }
}
