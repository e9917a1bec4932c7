package io.fuchsiastand.daemon.admin;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.Surroundings;
import io.fuchsiastand.config.Team;
import io.fuchsiastand.daemon.board.Blackboard;

/** Collects what a daemon tells operators who check a new configuration. */
final class ActiveSurroundings {

    private ActiveSurroundings() {}

    /**
     * Returns the configuration in force, without the digests of keys, and the keys and backend servers that this daemon knows.
     *
     * @param board the blackboard of the daemon
     * @return the surroundings of a new configuration
     */
    static Surroundings of(Blackboard board) {
        Configuration c = board.configuration().get().configuration();
        Map<String, Integer> keys = new TreeMap<>(board.keys().countByTeam());
        Map<String, Team> teams = new TreeMap<>();
        for (Team t : c.teams().values()) {
            if (!t.keyDigests().isEmpty()) {
                keys.merge(t.name(), t.keyDigests().size(), Integer::sum);
            }
            teams.put(t.name(), new Team(t.name(), t.plan(), t.priority(), List.of()));
        }
        Map<String, Surroundings.Room> rooms = new TreeMap<>();
        board.directory().services().forEach(s -> board.directory()
                .candidates(s)
                .forEach(b -> rooms.merge(s, new Surroundings.Room(1, b.server().slots()), Surroundings.Room::plus)));
        return new Surroundings(
                new Configuration(c.version(), c.services(), c.plans(), teams, c.limits()), keys, rooms);
    }
}
