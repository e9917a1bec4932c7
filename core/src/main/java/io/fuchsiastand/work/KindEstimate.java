package io.fuchsiastand.work;

/**
 * The estimate for one kind of call at one backend server.
 *
 * @param kind the kind
 * @param meanMillis the moving average of the time for which its calls hold a slot, in milliseconds
 * @param relativeDeviation the moving average of the difference between a call and the estimate, divided by the estimate; 0
 *     until further calls have ended
 * @param learned whether calls of the kind have ended at this backend server; if not, another daemon has stated the estimate
 */
public record KindEstimate(WorkKind kind, double meanMillis, double relativeDeviation, boolean learned) {}
