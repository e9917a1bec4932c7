package io.fuchsiastand.daemon.board;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.TomlFile;

/**
 * Limits that hold for the whole fleet, and the time within which a process must end after the signal to stop, from the
 * table {@code rules} of the settings. If the platform prescribes its own values, the operator sets these to match.
 *
 * @param grace the time within which a process must end after it receives the signal to stop
 * @param retryRatio the maximum number of retries that arrive at a service, as a fraction of the requests for it
 * @param retryWindow the time over which retries are counted
 * @param retrySlack the number of retries, of all daemons together, that are allowed in addition to the fraction
 * @param quotaWindow the time over which the requests of a team are counted
 * @param quotaOver the fraction by which a team may exceed its rate and burst in that time
 * @param quotaSlack the number of requests by which a team may exceed them in addition to the fraction
 */
public record FleetRules(
        Duration grace,
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        Duration quotaWindow,
        double quotaOver,
        double quotaSlack) {

    /** The rules that apply when the settings have none. */
    public static final FleetRules DEFAULT =
            new FleetRules(Duration.ofSeconds(25), 0.1, Duration.ofSeconds(10), 50, Duration.ofSeconds(5), 0, 0);

    private static final String TABLE = "rules";
    private static final double MAX_SLACK = 1_000_000;

    static FleetRules read(TomlFile f, JsonNode t) {
        f.checkKeys(
                TABLE,
                t,
                new TreeSet<>(Set.of(
                        "grace",
                        "retry_ratio",
                        "retry_window",
                        "retry_slack",
                        "quota_window",
                        "quota_over",
                        "quota_slack")));
        FleetRules d = DEFAULT;
        return new FleetRules(
                f.duration(TABLE, t, "grace", d.grace()),
                number(f, t, "retry_ratio", d.retryRatio(), 1),
                f.duration(TABLE, t, "retry_window", d.retryWindow()),
                number(f, t, "retry_slack", d.retrySlack(), MAX_SLACK),
                f.duration(TABLE, t, "quota_window", d.quotaWindow()),
                number(f, t, "quota_over", d.quotaOver(), 1),
                number(f, t, "quota_slack", d.quotaSlack(), MAX_SLACK));
    }

    private static double number(TomlFile f, JsonNode t, String key, double fallback, double max) {
        return f.number(TABLE, t, key, OptionalDouble.of(fallback), 0, max);
    }
}
