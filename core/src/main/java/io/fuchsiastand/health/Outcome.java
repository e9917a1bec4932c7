package io.fuchsiastand.health;

/** Result of a call as evidence about the backend server that handled it. */
public enum Outcome {
    /** A complete answer that is not a server error. */
    SUCCESS,
    /**
     * A server error, a broken or truncated answer, a refused connection, no answer by the deadline, or no answer
     * within several times the service time above which a call counts as slow.
     */
    FAILURE,
    /** The backend server refused the call before any work. This shows load, not a fault. */
    SHED,
    /** The call was cancelled, for example by its caller. This is no evidence about the backend server. */
    CANCELLED
}
