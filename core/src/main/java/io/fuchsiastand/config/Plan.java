package io.fuchsiastand.config;

import java.util.Map;

/**
 * A plan: the services that its teams may use.
 *
 * @param name the name of the plan
 * @param allowances the allowance by service
 */
public record Plan(String name, Map<String, Allowance> allowances) {

    /** Copies the allowances. */
    public Plan {
        allowances = Map.copyOf(allowances);
    }
}
