package io.fuchsiastand.queue;

import java.util.function.Consumer;

/**
 * A submitted call and its callbacks.
 *
 * @param number the number of calls that were submitted before
 * @param submission the submission
 * @param expectedNanos the expected time in the slot, in nanoseconds, also if the submission has none
 * @param admitted run when the call gets a slot
 * @param refused run when it gets none
 */
record SubmittedCall(
        long number,
        Submission submission,
        long expectedNanos,
        Consumer<FairQueue.Permit> admitted,
        Consumer<QueueRefusal> refused) {

    boolean missesDeadline(long start) {
        return start + expectedNanos - submission.deadline() > 0;
    }

    boolean missesTarget(long start) {
        return start + expectedNanos - submission.target() > 0;
    }
}
