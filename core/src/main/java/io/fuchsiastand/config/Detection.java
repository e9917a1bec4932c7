package io.fuchsiastand.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How sensitively failing backend servers are detected. A mode that detects failures faster also ejects healthy backend
 * servers more often; each mode is defined by the tolerated number of false alarms per backend server and day.
 */
public enum Detection {
    /** Slower detection with few false ejections: one false alarm per backend server in 100 days. */
    @JsonProperty("careful")
    CAREFUL(0.01),
    /** Faster detection: one false alarm per backend server and day. */
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
