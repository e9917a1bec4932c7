package io.fuchsiastand.health;

import java.util.Locale;
import java.util.Optional;

/**
 * Recent service times and failures of one backend server. The owner of the backend server, which is the daemon of its
 * host, sends them with each answer.
 *
 * @param medianMillis median service time of the last few calls in milliseconds
 * @param highMillis service time that one call in 20 exceeds, in milliseconds
 * @param failureShare share of calls that fail, 0 to 1
 */
public record ServerSummary(double medianMillis, double highMillis, double failureShare) {

    /**
     * Formats the summary as a header value.
     *
     * @return the three numbers, separated by semicolons
     */
    public String toText() {
        return String.format(Locale.ROOT, "%.2f;%.2f;%.4f", medianMillis, highMillis, failureShare);
    }

    /**
     * Parses a summary from a header value.
     *
     * @param text the header value, or null
     * @return the summary, or empty if the text is null or not a valid summary
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
