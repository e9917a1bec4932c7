package io.fuchsiastand.time;

import java.time.Instant;

/** The clock of the operating system. */
enum SystemClock implements Clock {
    INSTANCE;

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}
