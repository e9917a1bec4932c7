package io.fuchsiastand.bench.decisions;

import java.util.function.DoubleUnaryOperator;

/** How a backend server turns bad, given the seconds since it did. */
enum GrayFault {
    NONE("none", s -> 1, s -> 0, s -> 0, false, false),
    SLOW_3("slow by 3", s -> 3, s -> 0, s -> 0, true, false),
    SLOW_10("slow by 10", s -> 10, s -> 0, s -> 0, true, false),
    ERRORS_5("5% errors", s -> 1, s -> 0.05, s -> 0, true, false),
    ERRORS_20("20% errors", s -> 1, s -> 0.2, s -> 0, true, false),
    ERRORS_100("100% errors", s -> 1, s -> 1, s -> 0, true, false),
    HANGS("hangs", s -> 1, s -> 0, s -> 1, true, false),
    HANGS_20("hangs in 20%", s -> 1, s -> 0, s -> 0.2, true, false),
    TRUNCATES("truncates 50%", s -> 1, s -> 0.5, s -> 0, true, false),
    FLAPS("flaps each 10 s", s -> 1, s -> Math.floor(s / 10) % 2 == 0 ? 1 : 0, s -> 0, true, false),
    COLD("restarts, cold for 8 s, slow by 5", s -> s < 8 ? 5 : 1, s -> 0, s -> 0, false, false),
    SERVICE_SLOW("whole service slow by 5", s -> 5, s -> 0, s -> 0, false, true),
    SERVICE_ERRORS("whole service 10% errors", s -> 1, s -> 0.1, s -> 0, false, true);

    private final String title;
    private final DoubleUnaryOperator slowdown;
    private final DoubleUnaryOperator failures;
    private final DoubleUnaryOperator hangs;
    private final boolean detectable;
    private final boolean wholeService;

    GrayFault(
            String title,
            DoubleUnaryOperator slowdown,
            DoubleUnaryOperator failures,
            DoubleUnaryOperator hangs,
            boolean detectable,
            boolean wholeService) {
        this.title = title;
        this.slowdown = slowdown;
        this.failures = failures;
        this.hangs = hangs;
        this.detectable = detectable;
        this.wholeService = wholeService;
    }

    String title() {
        return title;
    }

    double slowdown(double seconds) {
        return slowdown.applyAsDouble(seconds);
    }

    double failures(double seconds) {
        return failures.applyAsDouble(seconds);
    }

    double hangs(double seconds) {
        return hangs.applyAsDouble(seconds);
    }

    /** Tells whether the backend server ought to be ejected for this. */
    boolean isDetectable() {
        return detectable;
    }

    /** Tells whether all backend servers of the service are alike. */
    boolean isWholeService() {
        return wholeService;
    }
}
