package io.fuchsiastand.daemon.board;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.Team;
import io.fuchsiastand.routing.RouteTable;

/**
 * The configuration in force, and the lookup tables that are derived from it.
 *
 * @param configuration the configuration
 * @param routes the route table of the configuration
 * @param teamsByKeyDigest the names of teams by the digests of the keys that the configuration lists
 */
public record ActiveConfiguration(
        Configuration configuration, RouteTable routes, Map<String, String> teamsByKeyDigest) {

    /** The value before the first configuration is in force. */
    public static final ActiveConfiguration NONE = of(Configuration.EMPTY);

    /**
     * Creates the active configuration, with its lookup tables, from a configuration.
     *
     * @param configuration the configuration
     * @return the active configuration
     */
    public static ActiveConfiguration of(Configuration configuration) {
        Map<String, String> keys = new HashMap<>();
        for (Team t : configuration.teams().values()) {
            t.keyDigests().forEach(d -> keys.put(d, t.name()));
        }
        return new ActiveConfiguration(configuration, new RouteTable(configuration), keys);
    }

    /**
     * Finds the team of a key that the configuration lists.
     *
     * @param digest the digest of the key
     * @return the name of the team, or empty if the configuration does not list the key
     */
    public Optional<String> teamOf(String digest) {
        return Optional.ofNullable(teamsByKeyDigest.get(digest));
    }
}
