package io.fuchsiastand.tools;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.HttpObjectStore;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.RetryingObjectStore;
import org.kohsuke.args4j.Option;

/** The option for the address of the platform, and the connection to it. */
final class PlatformOption {

    private static final int MAX_TRIES = 6;

    @Option(name = "--platform", metaVar = "HOST:PORT", usage = "the platform's address")
    private String address;

    boolean isGiven() {
        return address != null;
    }

    /**
     * Runs work with the object store of the platform.
     *
     * @param <T> the type of the result
     * @param work gets the object store, which retries failed calls
     * @return the result, or empty if no address was given
     * @throws FuchsiastandException with {@link ErrorCode#USAGE} if the address is invalid
     */
    <T> Optional<T> map(Function<ObjectStore, T> work) {
        if (address == null) {
            return Optional.empty();
        }
        int colon = address.lastIndexOf(':');
        if (colon <= 0 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new FuchsiastandException(ErrorCode.USAGE, "--platform must be HOST:PORT, not " + address);
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        HttpObjectStore http = new HttpObjectStore(address.substring(0, colon), port, Duration.ofSeconds(1));
        try {
            return Optional.of(work.apply(
                    new RetryingObjectStore(http, MAX_TRIES, RetryingObjectStore::sleep, new SplittableRandom())));
        } finally {
            close(http);
        }
    }

    private static void close(HttpObjectStore http) {
        try {
            http.close();
        } catch (Exception e) {
            throw new FuchsiastandException(
                    ErrorCode.PLATFORM_ERROR, "the connection to the platform cannot be closed", e);
        }
    }
}
