package io.fuchsiastand.daemon;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.routing.RouteTable;

/**
 * The configuration in force and the route table made from it.
 *
 * @param configuration the configuration
 * @param routes its routes
 */
public record ActiveConfiguration(Configuration configuration, RouteTable routes) {

    /** Before any configuration was accepted. */
    public static final ActiveConfiguration NONE = of(Configuration.EMPTY);

    /**
     * Makes a configuration ready for use.
     *
     * @param configuration the configuration
     * @return the configuration with its route table
     */
    public static ActiveConfiguration of(Configuration configuration) {
        return new ActiveConfiguration(configuration, new RouteTable(configuration));
    }
}
