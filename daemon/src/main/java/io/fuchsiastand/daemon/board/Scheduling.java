package io.fuchsiastand.daemon.board;

import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.TomlFile;

/**
 * Which decisions about where and when calls run are made by their expected work, from the table {@code scheduling} of the
 * settings.
 *
 * @param byWork whether backend servers are chosen by the work that they are expected to have left, not by the number of calls
 * @param deadlineOrder whether calls wait and are refused by their expected work, deadline and target latency
 * @param admission whether requests are refused before they start if the calls that they make would find no room
 * @param spill whether only those calls go to other data centres that find no room in their own one
 */
public record Scheduling(boolean byWork, boolean deadlineOrder, boolean admission, boolean spill) {

    /** The scheduling that applies when the settings have none: by the number of calls. */
    public static final Scheduling DEFAULT = new Scheduling(false, false, false, false);

    private static final String TABLE = "scheduling";

    static Scheduling read(TomlFile f, JsonNode t) {
        f.checkKeys(TABLE, t, new TreeSet<>(Set.of("by_work", "deadline_order", "admission", "spill")));
        return new Scheduling(
                f.flag(TABLE, t, "by_work", DEFAULT.byWork()),
                f.flag(TABLE, t, "deadline_order", DEFAULT.deadlineOrder()),
                f.flag(TABLE, t, "admission", DEFAULT.admission()),
                f.flag(TABLE, t, "spill", DEFAULT.spill()));
    }
}
