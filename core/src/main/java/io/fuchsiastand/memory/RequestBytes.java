package io.fuchsiastand.memory;

import java.util.Optional;

/**
 * Admission control by size: bounds what the bodies of the requests that a backend server runs take together, as it may have to
 * keep all of them in memory. A body that exceeds the bound alone is admitted when no other one is there.
 *
 * <p>Thread-safe.
 */
public final class RequestBytes {

    private long heldBytes;

    /** The body of a request that was admitted. */
    public final class Body {

        private long bytes;
        private boolean released;

        private Body(long bytes) {
            this.bytes = bytes;
        }

        /**
         * Adds a part of a body whose length was not known.
         *
         * @param partBytes the length of the part in bytes
         */
        public void add(long partBytes) {
            synchronized (RequestBytes.this) {
                if (!released) {
                    bytes += partBytes;
                    heldBytes += partBytes;
                }
            }
        }

        /** Records the end of the request. Calls after the first have no effect. */
        public void release() {
            synchronized (RequestBytes.this) {
                if (!released) {
                    released = true;
                    heldBytes -= bytes;
                }
            }
        }
    }

    /**
     * Admits a body if there is room.
     *
     * @param bytes its length in bytes, or 0 if it is not known yet
     * @param maxBytes what all bodies may take together, in bytes
     * @return the body, which must be released when its request has ended, or empty if there is no room
     */
    public synchronized Optional<Body> tryAdmit(long bytes, long maxBytes) {
        if (heldBytes > 0 && heldBytes + Math.max(1, bytes) > maxBytes) {
            return Optional.empty();
        }
        heldBytes += bytes;
        return Optional.of(new Body(bytes));
    }

    /**
     * Returns what the bodies take.
     *
     * @return the size in bytes
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }
}
