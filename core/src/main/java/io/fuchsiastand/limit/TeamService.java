package io.fuchsiastand.limit;

/**
 * What a limit is kept for.
 *
 * @param team the name of the team
 * @param service the name of the service
 */
public record TeamService(String team, String service) {}
