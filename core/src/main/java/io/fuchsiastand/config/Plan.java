package io.fuchsiastand.config;

import java.util.Map;

/**
 * A plan. It determines which services its teams may call, and at which rate.
 *
 * @param name the name of the plan
 * @param allowances the allowances by the name of the service; the allowance under {@link #ALL_SERVICES} limits the
 *     calls to all services together
 */
public record Plan(String name, Map<String, Allowance> allowances) {

    /** Used in place of the name of a service, for all services together. */
    public static final String ALL_SERVICES = "*";

    /** Copies the allowances. */
    public Plan {
        allowances = Map.copyOf(allowances);
    }
}
