package io.fuchsiastand.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Trades detection time against false ejections of healthy backend servers, as a tolerated number of false alarms per
 * backend server and day.
 */
public enum Detection {
    /** Few false ejections: one false alarm per backend server in 100 days. */
    @JsonProperty("careful")
    CAREFUL(0.01),
    /** Fast detection: one false alarm per backend server and day. */
    @JsonProperty("fast")
    FAST(1.0);

    private final double falseAlarmsPerDay;

    Detection(double falseAlarmsPerDay) {
        this.falseAlarmsPerDay = falseAlarmsPerDay;
    }

    /**
     * Returns the tolerated rate of false alarms.
     *
     * @return false alarms per backend server and day
     */
    public double falseAlarmsPerDay() {
        return falseAlarmsPerDay;
    }
}
