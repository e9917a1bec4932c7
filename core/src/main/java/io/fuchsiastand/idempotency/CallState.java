package io.fuchsiastand.idempotency;

/** The state of a call with an idempotency key. */
public enum CallState {
    /** The call has started and its end is not recorded. */
    RUNNING,
    /** The call has run. */
    RAN,
    /** The call may have run. */
    UNKNOWN
}
