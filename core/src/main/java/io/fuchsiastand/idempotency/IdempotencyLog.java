package io.fuchsiastand.idempotency;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The idempotency keys that one daemon stores for one shard, in memory. The holder and the standby of the shard both
 * record each start and end of a call; the record of one of them is enough to refuse a second run. {@link #begin}
 * refuses new keys of a team that has reached {@link #MAX_KEYS_PER_TEAM}; the log does not drop an older key to make
 * room. {@link #merge} adds the keys of the partner even beyond this limit.
 *
 * <p>Not thread-safe.
 */
public final class IdempotencyLog {

    /**
     * Minimum time for which a key is stored, from the start of its call. A key from the partner can stay longer, up to
     * this time from its arrival.
     */
    public static final Duration WINDOW = Duration.ofMinutes(10);
    /** Number of a team's keys in one log at which {@link #begin} refuses new keys of the team. */
    public static final int MAX_KEYS_PER_TEAM = 2_000;

    // After this time, begin returns UNKNOWN instead of RUNNING for a call whose end is not recorded.
    private static final Duration RUNNING_TIMEOUT = Duration.ofMinutes(1);

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Integer> keysPerTeam = new HashMap<>();
    private long coveredSinceNanos;

    private record Entry(String team, CallState state, long attempt, long begunNanos) {}

    /** The result of {@link #begin}. */
    public enum BeginResult {
        /** The key is new; the call may run. */
        STARTED,
        /** A call with this key has started and its end is not recorded. */
        RUNNING,
        /** A call with this key has run. */
        RAN,
        /** It is not known whether a call with this key ran. */
        UNKNOWN,
        /** The team has reached {@link #MAX_KEYS_PER_TEAM}, so its new key is refused. */
        FULL
    }

    /**
     * Creates an empty log.
     *
     * @param coveredSinceNanos monotonic time in nanoseconds: every key of the shard whose call began after it, and which
     *     has not expired, is recorded here
     */
    public IdempotencyLog(long coveredSinceNanos) {
        this.coveredSinceNanos = coveredSinceNanos;
    }

    /**
     * Returns whether a key that is not in the log is certainly new.
     *
     * @param now monotonic time in nanoseconds
     * @return true if the log has recorded every key of the shard for at least {@link #WINDOW}
     */
    public boolean coversWindow(long now) {
        return now - coveredSinceNanos >= WINDOW.toNanos();
    }

    /**
     * Returns the time for which the log has recorded every key of the shard.
     *
     * @param now monotonic time in nanoseconds
     * @return the duration
     */
    public Duration coveredTime(long now) {
        return Duration.ofNanos(now - coveredSinceNanos);
    }

    /** Marks the log as covering the whole window, because the shard is new and no key was used before. */
    public void markComplete() {
        coveredSinceNanos -= WINDOW.toNanos();
    }

    /**
     * A stored key and the state of its call, as it is transferred to the other daemon of the shard (the partner).
     *
     * @param digest the digest of the team, the service and the key
     * @param team the name of the team
     * @param state the state of the call
     * @param attempt the identifier of the attempt
     * @param age the time since the call began
     */
    public record LoggedKey(String digest, String team, CallState state, long attempt, Duration age) {}

    /**
     * Returns all stored keys, for a transfer to the partner.
     *
     * @param now monotonic time in nanoseconds
     * @return the keys
     */
    public List<LoggedKey> loggedKeys(long now) {
        expire(now);
        return entries.entrySet().stream()
                .map(e -> new LoggedKey(
                        e.getKey(),
                        e.getValue().team(),
                        e.getValue().state(),
                        e.getValue().attempt(),
                        Duration.ofNanos(now - e.getValue().begunNanos())))
                .toList();
    }

    /**
     * Adds the keys of the partner. Keys that this log already contains are not changed.
     *
     * @param keys the keys of the partner
     * @param coveredTime the time for which the partner's log has recorded every key of the shard
     * @param now monotonic time in nanoseconds
     */
    public void merge(List<LoggedKey> keys, Duration coveredTime, long now) {
        for (LoggedKey k : keys) {
            if (entries.putIfAbsent(
                            k.digest(),
                            new Entry(
                                    k.team(),
                                    k.state(),
                                    k.attempt(),
                                    now - k.age().toNanos()))
                    == null) {
                keysPerTeam.merge(k.team(), 1, Integer::sum);
            }
        }
        coveredSinceNanos = Math.min(coveredSinceNanos, now - coveredTime.toNanos());
    }

    /**
     * Records the start of a call, unless its key is already in use or the team has reached its limit.
     *
     * @param digest the digest of the team, the service and the key
     * @param team the name of the team
     * @param attempt identifies one attempt at the call; if the message that begins the call arrives twice, the second one
     *     is not a second attempt
     * @param now monotonic time in nanoseconds
     * @return whether the call may run
     */
    public BeginResult begin(String digest, String team, long attempt, long now) {
        expire(now);
        Entry e = entries.get(digest);
        if (e != null) {
            if (e.attempt() == attempt && e.state() == CallState.RUNNING) {
                return BeginResult.STARTED;
            }
            return switch (e.state()) {
                // The daemon that forwarded the call may have failed before it reported the end of the call.
                case RUNNING ->
                    now - e.begunNanos() < RUNNING_TIMEOUT.toNanos() ? BeginResult.RUNNING : BeginResult.UNKNOWN;
                case RAN -> BeginResult.RAN;
                case UNKNOWN -> BeginResult.UNKNOWN;
            };
        }
        if (keysPerTeam.getOrDefault(team, 0) >= MAX_KEYS_PER_TEAM) {
            return BeginResult.FULL;
        }
        entries.put(digest, new Entry(team, CallState.RUNNING, attempt, now));
        keysPerTeam.merge(team, 1, Integer::sum);
        return BeginResult.STARTED;
    }

    /**
     * Records the end of a call, if the stored key belongs to the same attempt.
     *
     * @param digest the digest of the team, the service and the key
     * @param attempt the identifier of the attempt
     * @param state the final state of the call
     */
    public void end(String digest, long attempt, CallState state) {
        entries.computeIfPresent(
                digest, (k, e) -> e.attempt() == attempt ? new Entry(e.team(), state, attempt, e.begunNanos()) : e);
    }

    /**
     * Removes the key of a call that certainly did not run, so that the caller can retry. Does nothing unless the stored
     * key belongs to the same attempt and its state is RUNNING.
     *
     * @param digest the digest of the team, the service and the key
     * @param attempt the identifier of the attempt
     */
    public void cancel(String digest, long attempt) {
        Entry e = entries.get(digest);
        if (e != null && e.attempt() == attempt && e.state() == CallState.RUNNING) {
            entries.remove(digest);
            decrementTeamCount(e);
        }
    }

    /**
     * Returns the number of stored keys.
     *
     * @return the number of keys
     */
    public int size() {
        return entries.size();
    }

    // Entries are in the order in which they were added. An entry merged from the partner can be older than the entries
    // before it; it then stays until those have expired, at most one window after its arrival.
    private void expire(long now) {
        Iterator<Entry> i = entries.values().iterator();
        while (i.hasNext()) {
            Entry e = i.next();
            if (now - e.begunNanos() < WINDOW.toNanos()) {
                return;
            }
            i.remove();
            decrementTeamCount(e);
        }
    }

    private void decrementTeamCount(Entry e) {
        keysPerTeam.computeIfPresent(e.team(), (k, n) -> n > 1 ? n - 1 : null);
    }
}
