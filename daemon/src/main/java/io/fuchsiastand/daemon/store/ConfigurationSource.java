package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.Optional;

import io.fuchsiastand.config.Configuration;

/** An external source of the configuration of the fleet. Without one, daemons read it from the object store. */
@FunctionalInterface
public interface ConfigurationSource {

    /**
     * Waits for a change of the configuration. The method may return the same configuration again.
     *
     * @param wait the maximum time to wait
     * @return the newest configuration, or empty if the source reported no change or has no configuration
     * @throws io.fuchsiastand.error.FuchsiastandException if the source does not answer, or its answer cannot be parsed
     */
    Optional<Configuration> next(Duration wait);
}
