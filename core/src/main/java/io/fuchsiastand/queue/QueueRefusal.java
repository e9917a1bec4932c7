package io.fuchsiastand.queue;

import io.fuchsiastand.error.ErrorCode;

/**
 * The reason for which a call gets no slot.
 *
 * @param code the error code
 * @param waitNanos the expected time until the call would have got a slot, in nanoseconds
 * @param workBeforeNanos the expected remaining time of the calls that run and of the waiting calls that would go before
 *     this one, in nanoseconds of slot time; 0 if it is not estimated
 * @param expectedNanos the time for which the call was expected to hold a slot, in nanoseconds; 0 if it is not estimated
 */
public record QueueRefusal(ErrorCode code, long waitNanos, long workBeforeNanos, long expectedNanos) {}
