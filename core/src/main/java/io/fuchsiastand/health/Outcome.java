package io.fuchsiastand.health;

/** What a call says of the backend server that handled it. */
public enum Outcome {
    /** A whole answer that is not a server error. */
    SUCCESS,
    /** A server error, a broken or truncated answer, a refused connection, or no answer by the deadline. */
    FAILURE,
    /** The backend server refused the call before any work. This is load, not failure. */
    SHED,
    /** The caller went away; this says nothing. */
    CANCELLED
}
