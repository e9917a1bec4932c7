package io.fuchsiastand.tools;

import java.util.ArrayList;
import java.util.List;

import io.fuchsiastand.config.Configuration;

/** Lists the differences between two configurations. */
final class ConfigurationDiff {

    private ConfigurationDiff() {}

    /**
     * Compares two configurations.
     *
     * @param before the configuration in force
     * @param after the new configuration
     * @return a line for each service, plan and team that differs. The line starts with {@code +} if the item was added,
     *     {@code -} if it was removed, or {@code ~} if it was changed; only then the old and the new value follow
     */
    static List<String> lines(Configuration before, Configuration after) {
        List<String> out = new ArrayList<>();
        EntryChange.between(before.services(), after.services()).forEach(c -> out.add(c.line("service")));
        EntryChange.between(before.plans(), after.plans()).forEach(c -> out.add(c.line("plan")));
        EntryChange.between(before.teams(), after.teams()).forEach(c -> out.add(c.line("team")));
        return out;
    }
}
