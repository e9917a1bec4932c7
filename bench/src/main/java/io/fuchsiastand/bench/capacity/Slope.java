package io.fuchsiastand.bench.capacity;

import java.util.List;

/**
 * A straight line through measurements, by least squares.
 *
 * @param perUnit the rise for one unit
 * @param base the value at zero units
 */
public record Slope(double perUnit, double base) {

    /**
     * One measurement.
     *
     * @param units the size
     * @param value the value at this size
     */
    public record Point(double units, double value) {}

    /**
     * Fits a line.
     *
     * @param points at least two points of different sizes
     * @return the line
     */
    public static Slope fit(List<Point> points) {
        double n = points.size();
        double meanX = points.stream().mapToDouble(Point::units).sum() / n;
        double meanY = points.stream().mapToDouble(Point::value).sum() / n;
        double above = 0;
        double below = 0;
        for (Point p : points) {
            above += (p.units() - meanX) * (p.value() - meanY);
            below += (p.units() - meanX) * (p.units() - meanX);
        }
        double perUnit = above / below;
        return new Slope(perUnit, meanY - perUnit * meanX);
    }

    /**
     * Extrapolates.
     *
     * @param units the size
     * @return the value of the line
     */
    public double at(double units) {
        return base + perUnit * units;
    }
}
