package io.fuchsiastand.queue;

/**
 * A call that asks for a slot of a backend server. All times are monotonic, in nanoseconds.
 *
 * @param team the name of the team that makes the call
 * @param priority the priority of the call; calls with lower numbers are more urgent; negative numbers are allowed
 * @param deadline time by which the call must finish
 * @param target time until which a response is fully useful
 * @param expectedNanos the time for which the call is expected to hold a slot, or 0 if it is unknown
 * @param maxWaitNanos the longest time that the call waits for a slot; used only by {@link QueueOrder#DUE_DATE}
 */
public record Submission(String team, int priority, long deadline, long target, long expectedNanos, long maxWaitNanos) {

    /**
     * Starts a submission without a target, with priority 0, an unknown expected time and any wait.
     *
     * @param team the name of the team
     * @param deadline time by which the call must finish
     * @return the builder
     */
    public static Builder builder(String team, long deadline) {
        return new Builder(team, deadline);
    }

    /** Builds a submission. */
    public static final class Builder {
        private final String team;
        private final long deadline;
        private int priority;
        private long target;
        private long expectedNanos;
        private long maxWaitNanos = Long.MAX_VALUE;

        private Builder(String team, long deadline) {
            this.team = team;
            this.deadline = deadline;
            target = deadline;
        }

        /**
         * Sets the priority.
         *
         * @param value the priority; lower numbers are more urgent
         * @return this builder
         */
        public Builder priority(int value) {
            priority = value;
            return this;
        }

        /**
         * Sets the target.
         *
         * @param value time until which a response is fully useful
         * @return this builder
         */
        public Builder target(long value) {
            target = value;
            return this;
        }

        /**
         * Sets the expected time in the slot.
         *
         * @param value nanoseconds, or 0 if it is unknown
         * @return this builder
         */
        public Builder expectedNanos(long value) {
            expectedNanos = value;
            return this;
        }

        /**
         * Sets the longest wait.
         *
         * @param value nanoseconds
         * @return this builder
         */
        public Builder maxWaitNanos(long value) {
            maxWaitNanos = value;
            return this;
        }

        /**
         * Creates the submission.
         *
         * @return the submission
         */
        public Submission build() {
            return new Submission(team, priority, deadline, target, expectedNanos, maxWaitNanos);
        }
    }
}
