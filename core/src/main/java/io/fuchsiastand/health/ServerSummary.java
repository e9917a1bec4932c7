package io.fuchsiastand.health;

import java.util.Locale;
import java.util.Optional;

/**
 * How one backend server did lately, as its owner tells with each answer.
 *
 * @param medianMillis median service time of the last few calls
 * @param highMillis service time that one call in 20 exceeds
 * @param failureShare share of calls that fail, 0 to 1
 */
public record ServerSummary(double medianMillis, double highMillis, double failureShare) {

    /**
     * Writes the summary for a header.
     *
     * @return three numbers
     */
    public String toText() {
        return String.format(Locale.ROOT, "%.2f;%.2f;%.4f", medianMillis, highMillis, failureShare);
    }

    /**
     * Reads a summary from a header.
     *
     * @param text the text, or null
     * @return the summary, or nothing if the text is not one
     */
    public static Optional<ServerSummary> parse(CharSequence text) {
        String[] parts = text == null ? new String[0] : text.toString().split(";");
        if (parts.length != 3) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ServerSummary(
                    Double.parseDouble(parts[0]), Double.parseDouble(parts[1]), Double.parseDouble(parts[2])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
