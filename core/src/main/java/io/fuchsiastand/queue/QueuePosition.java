package io.fuchsiastand.queue;

import java.util.Optional;

import io.fuchsiastand.error.ErrorCode;

/**
 * Where a call would stand in a queue. A queue at its capacity is not considered.
 *
 * @param before the number of waiting calls that would get a slot before it
 * @param waitNanos the expected time until it would get a slot, in nanoseconds
 * @param refusal the error code with which it would be refused at once, or empty if it would run or wait
 */
public record QueuePosition(int before, long waitNanos, Optional<ErrorCode> refusal) {}
