package io.fuchsiastand.routing;

/**
 * A backend server as its host's daemon describes it to the fleet.
 *
 * @param id its name, unique on its host
 * @param service the service it belongs to
 * @param slots calls it takes at a time
 * @param state what its daemon says of it
 * @param weight share of its capacity to be used now, 0 to 1, below 1 while it starts
 * @param severity how badly it fails, for the order of ejection; 0 while it is healthy
 */
public record BackendServer(String id, String service, int slots, BackendState state, double weight, double severity) {}
