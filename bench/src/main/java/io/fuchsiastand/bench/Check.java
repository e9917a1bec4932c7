package io.fuchsiastand.bench;

import java.util.Locale;

/**
 * A figure held against a bound that follows from a stated target.
 *
 * @param name what the figure is
 * @param value the figure
 * @param bound the bound
 * @param ratio the figure divided by the bound
 * @param good whether the figure keeps the bound
 */
public record Check(String name, double value, double bound, double ratio, boolean good) {

    /**
     * Makes a check of a figure that must not exceed its bound.
     *
     * @param name what the figure is
     * @param value the figure
     * @param bound the bound
     * @return the check
     */
    public static Check atMost(String name, double value, double bound) {
        return new Check(name, value, bound, bound == 0 ? value : value / bound, value <= bound);
    }

    /**
     * Formats the check for a table.
     *
     * @return a line of Markdown
     */
    public String toMarkdown() {
        return String.format(
                Locale.ROOT, "| %s | %.4g | %.4g | %.2f | %s |", name, value, bound, ratio, good ? "good" : "BROKEN");
    }
}
