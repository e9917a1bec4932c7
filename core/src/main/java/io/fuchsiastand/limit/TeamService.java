package io.fuchsiastand.limit;

/**
 * The team and the service to which a rate limit applies.
 *
 * @param team the name of the team
 * @param service the name of the service, or {@link io.fuchsiastand.config.Plan#ALL_SERVICES}
 */
public record TeamService(String team, String service) {

    // Explicit, because the generated methods of a record are linked at run time, which is costly at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof TeamService t && team.equals(t.team) && service.equals(t.service);
    }

    @Override
    public int hashCode() {
        return 31 * team.hashCode() + service.hashCode();
    }
}
