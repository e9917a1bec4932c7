package io.fuchsiastand.tools;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * An entry that differs between two maps.
 *
 * @param <T> the type of the values
 * @param name its name
 * @param before the old value, or null if the entry was added
 * @param after the new value, or null if the entry was dropped
 */
record EntryChange<T>(String name, T before, T after) {

    /**
     * Compares two maps.
     *
     * @param <T> the type of the values
     * @param before the old map
     * @param after the new map
     * @return the entries that differ, by name
     */
    static <T> List<EntryChange<T>> between(Map<String, T> before, Map<String, T> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names.stream()
                .map(n -> new EntryChange<>(n, before.get(n), after.get(n)))
                .filter(c -> !Objects.equals(c.before, c.after))
                .toList();
    }

    /**
     * Returns the change as a line.
     *
     * @param kind what the entry is, such as {@code team}
     * @return a line that starts with {@code +} if the entry was added, {@code -} if it was dropped, or {@code ~} if it was changed;
     *     only then the old and the new value follow
     */
    String line(String kind) {
        String sign = before == null ? "+ " : after == null ? "- " : "~ ";
        String change = before == null || after == null ? "" : ": " + before + " -> " + after;
        return sign + kind + ' ' + name + change;
    }
}
