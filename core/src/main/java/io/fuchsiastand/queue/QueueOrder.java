package io.fuchsiastand.queue;

/** The order in which calls of equal rank wait, and how it is decided which of them cannot be served. */
public enum QueueOrder {
    /** By arrival. The wait is estimated from the mean time that calls hold a slot. */
    ARRIVAL,
    /** By {@link DueDateOrder}. The wait is estimated from the expected work before a call. */
    DUE_DATE
}
