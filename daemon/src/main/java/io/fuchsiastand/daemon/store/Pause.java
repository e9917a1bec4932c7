package io.fuchsiastand.daemon.store;

import java.time.Duration;

/**
 * Waits between two rounds of work with the object store or the configuration source, on a thread that does nothing else.
 */
final class Pause {

    private Pause() {}

    // Returns early, with the interrupt status set, if the thread is interrupted.
    static void sleep(Duration wait) {
        try {
            Thread.sleep(wait.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
