package io.fuchsiastand.store;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/**
 * Retries calls of another store with jittered exponential backoff. Closing this store does not close the other one.
 *
 * <p>A write whose response was lost is recognised by its change id, unless another writer has changed or deleted the
 * object since. In that case the write fails with {@link ErrorCode#UNRESOLVED}. But a write that creates an object which
 * another writer has since deleted creates it a second time instead. A write that fails with
 * {@link ErrorCode#PLATFORM_UNAVAILABLE} may have taken effect.
 */
public final class RetryingObjectStore implements ObjectStore {

    private static final Duration FIRST_DELAY = Duration.ofMillis(50);
    private static final Duration MAX_DELAY = Duration.ofSeconds(5);

    private final ObjectStore store;
    private final int maxAttempts;
    private final Consumer<Duration> sleeper;
    private final RandomGenerator random;

    /**
     * Wraps a store.
     *
     * @param store the store to call
     * @param maxAttempts the maximum number of attempts of a call
     * @param sleeper blocks for the given time before a retry
     * @param random the source of jitter
     */
    public RetryingObjectStore(ObjectStore store, int maxAttempts, Consumer<Duration> sleeper, RandomGenerator random) {
        this.store = store;
        this.maxAttempts = maxAttempts;
        this.sleeper = sleeper;
        this.random = random;
    }

    @Override
    public Optional<StoredObject> get(String name) {
        return retry(() -> store.get(name));
    }

    @Override
    public ObjectsAtRevision list(String prefix) {
        return retry(() -> store.list(prefix));
    }

    @Override
    public long put(String name, byte[] value, long expected, String changeId) {
        ConditionalWrite write = new ConditionalWrite(name, value, expected, changeId);
        boolean outcomeUnknown = false;
        for (int i = 1; ; i++) {
            try {
                return write.apply(store);
            } catch (FuchsiastandException e) {
                if (e.code() == ErrorCode.CONFLICT && outcomeUnknown) {
                    throw unresolvedConflict(name, e);
                }
                if (e.code() != ErrorCode.PLATFORM_UNAVAILABLE) {
                    throw e;
                }
                outcomeUnknown = true;
                waitOrThrow(i, e);
            }
        }
    }

    @Override
    public void delete(String name, long expected) {
        boolean outcomeUnknown = false;
        for (int i = 1; ; i++) {
            try {
                store.delete(name, expected);
                return;
            } catch (FuchsiastandException e) {
                if (e.code() == ErrorCode.CONFLICT
                        && outcomeUnknown
                        && get(name).isEmpty()) {
                    // An earlier attempt or another writer has deleted the object; both count as success.
                    return;
                }
                if (e.code() != ErrorCode.PLATFORM_UNAVAILABLE) {
                    throw e;
                }
                outcomeUnknown = true;
                waitOrThrow(i, e);
            }
        }
    }

    @Override
    public ObjectsAtRevision watch(String prefix, long from, Duration wait) {
        return retry(() -> store.watch(prefix, from, wait));
    }

    // An earlier attempt of this write may have taken effect before the other writer changed the object.
    private static FuchsiastandException unresolvedConflict(String name, FuchsiastandException conflict) {
        return new FuchsiastandException(
                ErrorCode.UNRESOLVED,
                name
                        + " was changed by another writer; it is unknown whether this write took effect before that; read the object again",
                conflict);
    }

    private <T> T retry(Supplier<T> call) {
        for (int i = 1; ; i++) {
            try {
                return call.get();
            } catch (FuchsiastandException e) {
                if (e.code() != ErrorCode.PLATFORM_UNAVAILABLE) {
                    throw e;
                }
                waitOrThrow(i, e);
            }
        }
    }

    private void waitOrThrow(int attempt, FuchsiastandException e) {
        if (attempt >= maxAttempts) {
            throw e;
        }
        sleeper.accept(delay(attempt, random));
    }

    /**
     * Returns the time to wait before a retry: a random time up to a bound that doubles with each failed attempt and is
     * at most 5 seconds.
     *
     * @param attempt the number of failed attempts, from 1
     * @param random the source of jitter
     * @return the time to wait, at least 1 ms
     */
    public static Duration delay(int attempt, RandomGenerator random) {
        int doublings = Math.min(attempt - 1, 10);
        long maxMillis = Math.min(MAX_DELAY.toMillis(), FIRST_DELAY.toMillis() << doublings);
        return Duration.ofMillis(1 + random.nextLong(maxMillis));
    }

    /**
     * Blocks the current thread.
     *
     * @param wait the time to wait
     * @throws FuchsiastandException with {@link ErrorCode#PLATFORM_UNAVAILABLE} if the thread is interrupted
     */
    public static void sleep(Duration wait) {
        try {
            Thread.sleep(wait.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FuchsiastandException(ErrorCode.PLATFORM_UNAVAILABLE, "interrupted while waiting to retry", e);
        }
    }
}
