package io.fuchsiastand.config;

/**
 * One of the services among which a route divides its requests.
 *
 * @param service the name of the service
 * @param weight its share of the requests, relative to the weights of the other services of the route
 */
public record WeightedService(String service, double weight) {}
