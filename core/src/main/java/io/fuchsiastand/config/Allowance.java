package io.fuchsiastand.config;

/**
 * What a plan may use of one service, across all hosts together.
 *
 * @param rate requests per second
 * @param burst requests at once
 */
public record Allowance(double rate, double burst) {}
