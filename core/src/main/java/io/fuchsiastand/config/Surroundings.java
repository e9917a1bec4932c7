package io.fuchsiastand.config;

import java.util.Map;

/**
 * What a daemon or the platform tells about the deployment in which a configuration is to be applied.
 *
 * @param configuration the configuration in force, with version 0 if there is none; the digests of keys may be left out
 * @param keys the number of valid keys of each team that has any
 * @param rooms the backend servers by service; empty if nothing is known of them
 */
public record Surroundings(Configuration configuration, Map<String, Integer> keys, Map<String, Room> rooms) {

    /** A deployment of which nothing is known. */
    public static final Surroundings UNKNOWN = new Surroundings(Configuration.EMPTY, Map.of(), Map.of());

    /**
     * The backend servers of a service.
     *
     * @param servers the number of backend servers
     * @param slots the number of calls that all of them run concurrently
     */
    public record Room(int servers, int slots) {

        /**
         * Returns the room of these and other backend servers.
         *
         * @param other the others
         * @return the sums
         */
        public Room plus(Room other) {
            return new Room(servers + other.servers, slots + other.slots);
        }
    }

    /** Copies the maps. */
    public Surroundings {
        keys = Map.copyOf(keys);
        rooms = Map.copyOf(rooms);
    }
}
