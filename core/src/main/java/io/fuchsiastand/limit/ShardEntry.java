package io.fuchsiastand.limit;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * One entry of the shard table, stored as one object of the platform: the daemons that may hold leases on a shard.
 *
 * @param shard the number of the shard
 * @param epoch increased by each change of the entry
 * @param holder the host that grants requests
 * @param standby the host that owns the other half and lends it to the holder, or an empty string
 * @param pending whether a host of an earlier epoch may use a half for up to the half term after this epoch began
 * @param previous hosts of the preceding epoch that this entry no longer names; empty in an entry that starts or ends a
 *     takeover
 * @param unsettled hosts that may still hold leases of earlier epochs and may go on renewing them; while there are any,
 *     no daemon that has applied this entry grants requests
 * @param founders incarnations of the named hosts when the first entry of the shard was created; each belongs to one process
 */
public record ShardEntry(
        int shard,
        long epoch,
        String holder,
        String standby,
        boolean pending,
        List<String> previous,
        List<String> unsettled,
        List<Long> founders) {

    /** Prefix of the names under which the platform stores the entries. */
    public static final String PREFIX = "shards/";

    /** Copies the lists. A list that a stored entry lacks becomes an empty list. */
    public ShardEntry {
        previous = previous == null ? List.of() : List.copyOf(previous);
        unsettled = unsettled == null ? List.of() : List.copyOf(unsettled);
        founders = founders == null ? List.of() : List.copyOf(founders);
    }

    /**
     * Creates an entry that is not the first of its shard, so that it has no founders.
     *
     * @param shard the number of the shard
     * @param epoch increased by each change of the entry
     * @param holder the host that grants requests
     * @param standby the host that owns the other half and lends it to the holder, or an empty string
     * @param pending whether a host of an earlier epoch may use a half
     * @param previous hosts of the preceding epoch that this entry no longer names; empty in an entry that starts or
     *     ends a takeover
     * @param unsettled hosts that may still hold leases of earlier epochs
     */
    public ShardEntry(
            int shard,
            long epoch,
            String holder,
            String standby,
            boolean pending,
            List<String> previous,
            List<String> unsettled) {
        this(shard, epoch, holder, standby, pending, previous, unsettled, List.of());
    }

    /**
     * Returns the placeholder for a shard that has no entry in the shard table yet.
     *
     * @param shard the number of the shard
     * @return an entry of epoch 0 that names no host
     */
    public static ShardEntry absent(int shard) {
        return new ShardEntry(shard, 0, "", "", false, List.of(), List.of());
    }

    /**
     * Returns the hosts that the entry names as holder and standby.
     *
     * @return one or two hosts, or none
     */
    public List<String> hosts() {
        return Stream.of(holder, standby).filter(h -> !h.isEmpty()).toList();
    }

    /**
     * Returns the name under which the platform stores this entry.
     *
     * @return the name of the object
     */
    public String name() {
        return name(shard);
    }

    /**
     * Returns the name under which the platform stores the entry of a shard.
     *
     * @param shard the number of the shard
     * @return the name of the object
     */
    public static String name(int shard) {
        return PREFIX + String.format(Locale.ROOT, "%05d", shard);
    }

    /**
     * Returns whether a host may hold leases in this epoch.
     *
     * @param host the name of the host
     * @return true if it is the holder or the standby
     */
    public boolean includes(String host) {
        return !host.isEmpty() && (holder.equals(host) || standby.equals(host));
    }

    /**
     * Returns the other host of the pair.
     *
     * @param host one host of the pair
     * @return the other host, or an empty string
     */
    public String partnerOf(String host) {
        return holder.equals(host) ? standby : holder;
    }
}
