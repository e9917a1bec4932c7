package io.fuchsiastand.limit;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Creates the shard entries by which a daemon takes over a shard whose entry does not name it. */
public final class TakeoverEntries {

    private TakeoverEntries() {}

    /**
     * Creates the entry that starts a takeover. A daemon that has applied this entry grants no requests on the shard.
     * Daemons that have not received it may still do so under leases of earlier epochs.
     *
     * @param entry the entry to replace
     * @param host the daemon that takes over
     * @return the entry of the next epoch; its unsettled hosts are those that the replaced entry lists as unsettled, or
     *     if it lists none, those that it names, the holder first, and those that it lists as previous. If the replaced
     *     entry is pending, another host may also use a half, for at most the half term.
     */
    public static ShardEntry startEntry(ShardEntry entry, String host) {
        Set<String> unsettled = new LinkedHashSet<>();
        if (entry.unsettled().isEmpty()) {
            unsettled.addAll(entry.hosts());
            unsettled.addAll(entry.previous());
        } else {
            // The entry starts a takeover that was not ended. The daemon that began it never held a lease, but the
            // hosts that the entry lists may still hold one.
            unsettled.addAll(entry.unsettled());
        }
        return new ShardEntry(
                entry.shard(), entry.epoch() + 1, host, "", entry.pending(), List.of(), List.copyOf(unsettled));
    }

    /**
     * Creates the entry that ends a takeover.
     *
     * @param entry the entry that started it
     * @return the entry of the next epoch, in which the daemon that took over is the only host and holds both halves
     */
    public static ShardEntry endEntry(ShardEntry entry) {
        return new ShardEntry(entry.shard(), entry.epoch() + 1, entry.holder(), "", false, List.of(), List.of());
    }
}
