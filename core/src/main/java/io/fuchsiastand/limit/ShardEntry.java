package io.fuchsiastand.limit;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * One row of the shard table, stored as one object of the platform: the daemons that may hold rights on a shard.
 *
 * @param shard the number of the shard
 * @param epoch raised by each change
 * @param holder the host that grants
 * @param standby the host that holds the other half and lends it, or an empty text
 * @param pending whether a host of an earlier epoch may use a half for up to the term of halves after this epoch began
 * @param previous hosts of the epoch before that this row no longer names
 * @param unsettled hosts of earlier epochs that may hold rights without a bound; while there are any, nobody grants
 * @param founders starts of the processes that were named when the row was made as the first of its shard
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

    /** Prefix of the names of the objects. */
    public static final String PREFIX = "shards/";

    /** Copies the hosts; rows without the lists have none. */
    public ShardEntry {
        previous = previous == null ? List.of() : List.copyOf(previous);
        unsettled = unsettled == null ? List.of() : List.copyOf(unsettled);
        founders = founders == null ? List.of() : List.copyOf(founders);
    }

    /**
     * Creates a row that is not the first of its shard.
     *
     * @param shard the number of the shard
     * @param epoch raised by each change
     * @param holder the host that grants
     * @param standby the host that holds the other half and lends it, or an empty text
     * @param pending whether a host of an earlier epoch may use a half
     * @param previous hosts of the epoch before that this row no longer names
     * @param unsettled hosts of earlier epochs that may hold rights without a bound
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
     * Returns the row of a shard that the table does not have yet.
     *
     * @param shard the number of the shard
     * @return a row of epoch 0 that names nobody
     */
    public static ShardEntry absent(int shard) {
        return new ShardEntry(shard, 0, "", "", false, List.of(), List.of());
    }

    /**
     * Returns the hosts that the row names.
     *
     * @return one or two hosts, or none
     */
    public List<String> hosts() {
        return Stream.of(holder, standby).filter(h -> !h.isEmpty()).toList();
    }

    /**
     * Returns the name of the object.
     *
     * @return the name
     */
    public String name() {
        return name(shard);
    }

    /**
     * Returns the name of the object of a shard.
     *
     * @param shard the number of the shard
     * @return the name
     */
    public static String name(int shard) {
        return PREFIX + String.format(Locale.ROOT, "%05d", shard);
    }

    /**
     * Tells whether a host may hold rights in this epoch.
     *
     * @param host the name of the host
     * @return true if it is the holder or the standby
     */
    public boolean names(String host) {
        return !host.isEmpty() && (holder.equals(host) || standby.equals(host));
    }

    /**
     * Returns the other host of the pair.
     *
     * @param host one of the pair
     * @return the other, or an empty text
     */
    public String partnerOf(String host) {
        return holder.equals(host) ? standby : holder;
    }
}
