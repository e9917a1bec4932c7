package io.fuchsiastand.admission;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The calls that found no room at a backend server lately, as its owner publishes them with its answers.
 *
 * @param refused for each priority with refused calls, the share of the calls of this or a more urgent priority that were
 *     refused, from 0 to 1
 */
public record RoomReport(Map<Integer, Double> refused) {

    /** The report of a backend server that had room for all calls. */
    public static final RoomReport FREE = new RoomReport(Map.of());

    /** The priority of the calls of running requests, which are more urgent than all requests of teams. */
    public static final int CALLS = -1;

    static final int MAX_PRIORITIES = 8;

    /**
     * Parses the form that {@link #toText} writes.
     *
     * @param text the text, or null
     * @return the report; {@link #FREE} if the text is missing or not valid
     */
    public static RoomReport parse(CharSequence text) {
        if (text == null) {
            return FREE;
        }
        Map<Integer, Double> out = new TreeMap<>();
        try {
            for (String entry : text.toString().split(",", MAX_PRIORITIES)) {
                int equals = entry.indexOf('=');
                double share = Double.parseDouble(entry.substring(equals + 1));
                if (!(share >= 0 && share <= 1)) {
                    return FREE;
                }
                out.put(Integer.parseInt(entry.substring(0, equals)), share);
            }
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return FREE;
        }
        return new RoomReport(out);
    }

    /**
     * Returns the report in the form in which daemons tell each other.
     *
     * @return the text; empty if no call was refused
     */
    public String toText() {
        StringBuilder out = new StringBuilder();
        refused.forEach((priority, share) -> out.append(out.length() == 0 ? "" : ",")
                .append(priority)
                .append('=')
                .append(String.format(Locale.ROOT, "%.2f", share)));
        return out.toString();
    }

    /**
     * Returns the largest share for a range of priorities.
     *
     * @param from the most urgent priority of the range; {@link #CALLS} for the calls of running requests
     * @param below the priority after the least urgent one of the range
     * @return 0 to 1
     */
    public double refusedIn(int from, int below) {
        double out = 0;
        for (Map.Entry<Integer, Double> e : refused.entrySet()) {
            if (e.getKey() >= from && e.getKey() < below) {
                out = Math.max(out, e.getValue());
            }
        }
        return out;
    }
}
