package io.fuchsiastand.daemon;

import java.util.Optional;
import java.util.function.Function;

import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.limit.LimitClient;
import io.fuchsiastand.daemon.limit.TokenController;
import io.fuchsiastand.daemon.owner.BackendController;
import io.fuchsiastand.daemon.store.ConfigurationSource;
import io.fuchsiastand.daemon.store.PlatformController;
import io.fuchsiastand.store.HttpObjectStore;
import io.fuchsiastand.store.ObjectStore;
import io.servicetalk.http.api.BlockingHttpService;

/**
 * The parts of a daemon that depend on the environment in which it runs.
 *
 * @param headerConventions the header names and formats that callers and backend servers use
 * @param store creates the client of the object store
 * @param configuration creates the source of the configuration; empty if the daemon reads the configuration from the
 *     objects that {@code fuchsiactl} writes to the object store. A daemon with a source enforces rate limits with tokens
 *     (see {@link TokenController}) and does not track idempotency keys; a daemon without one enforces rate limits with
 *     leases of shards (see {@link LimitClient}) and tracks idempotency keys
 * @param announcements creates the service to which backend servers send their announcements; empty if they send them to
 *     the admin port
 */
public record Deployment(
        HeaderConventions headerConventions,
        Function<Settings, ObjectStore> store,
        Optional<Function<Settings, ConfigurationSource>> configuration,
        Optional<Function<BackendController, BlockingHttpService>> announcements) {

    /** The deployment that uses only the interfaces that fuchsiastand itself defines. */
    public static final Deployment DEFAULT = new Deployment(
            HeaderConventions.DEFAULT,
            s -> new HttpObjectStore(s.platform().host(), s.platform().port(), PlatformController.MAX_WATCH_WAIT),
            Optional.empty(),
            Optional.empty());
}
