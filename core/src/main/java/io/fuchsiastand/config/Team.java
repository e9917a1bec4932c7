package io.fuchsiastand.config;

/**
 * A team and its plan.
 *
 * @param name the name of the team
 * @param plan the name of its plan
 */
public record Team(String name, String plan) {}
