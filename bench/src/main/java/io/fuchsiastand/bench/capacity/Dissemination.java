package io.fuchsiastand.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.fuchsiastand.membership.Gossip;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.time.ManualClock;

/**
 * Simulates, on the virtual clock, how one record spreads through a fleet by gossip. At each tick, each daemon sends a
 * probe to the target that its {@link Gossip} chooses, if it chooses one. Requests and replies are lost at random.
 * Unlike real daemons, the simulated ones send no indirect probes and do not queue the updates of a lost probe again.
 */
public final class Dissemination {

    private static final int MAX_TICKS = 500;
    private static final int TICKS_WITHOUT_UPDATES = 50;
    private static final int RECORD_BYTES = 1_600;

    private final ManualClock clock = new ManualClock();
    private final List<Gossip> daemons = new ArrayList<>();
    private final List<RecordStore> stores = new ArrayList<>();
    private final List<Membership> memberships = new ArrayList<>();
    private final Map<String, Integer> indexByHost = new HashMap<>();
    private final SplittableRandom random;
    private final double loss;
    private long bytes;
    private long messages;

    /**
     * The outcome of one simulation.
     *
     * @param seconds time until the last daemon has received the record; infinite if some daemon did not receive it
     * @param bytesPerDaemon mean bytes that a daemon sends in this time
     * @param quietBytesPerSecond mean bytes per second that a daemon sends while there are no updates
     * @param quietMessagesPerSecond mean messages per second that a daemon sends while there are no updates, replies
     *     included
     */
    public record Outcome(
            double seconds, double bytesPerDaemon, double quietBytesPerSecond, double quietMessagesPerSecond) {}

    private Dissemination(int size, double loss, long seed) {
        random = new SplittableRandom(seed);
        this.loss = loss;
        List<MemberUpdate> updates = Samples.updates(size);
        for (int i = 0; i < size; i++) {
            Membership m = new Membership(Samples.member(i), clock, new SplittableRandom(seed + i));
            m.apply(updates);
            while (m.hasUpdates()) {
                m.takeUpdates();
            }
            RecordStore s = new RecordStore();
            memberships.add(m);
            stores.add(s);
            daemons.add(new Gossip(m, s, clock));
            indexByHost.put(Samples.member(i).host(), i);
        }
    }

    /**
     * Runs 50 ticks without updates. Then stores a new record at one daemon and continues until all daemons have
     * received it, or for 500 ticks.
     *
     * @param size the number of daemons
     * @param loss the share of messages that are lost, 0 to 1
     * @param seed the seed of all random choices
     * @return the outcome
     */
    public static Outcome run(int size, double loss, long seed) {
        return new Dissemination(size, loss, seed).run();
    }

    private Outcome run() {
        for (int i = 0; i < TICKS_WITHOUT_UPDATES; i++) {
            tick();
        }
        double secondsWithoutUpdates = TICKS_WITHOUT_UPDATES * Gossip.TICK_PERIOD.toNanos() / 1e9;
        double bytesWithoutUpdates = bytes / secondsWithoutUpdates / daemons.size();
        double messagesWithoutUpdates = messages / secondsWithoutUpdates / daemons.size();
        bytes = 0;
        stores.get(0).put(RecordStore.record("config/index", 2, new byte[RECORD_BYTES]));
        int ticks = 0;
        while (ticks < MAX_TICKS && !isEverywhere()) {
            tick();
            ticks++;
        }
        double seconds = isEverywhere() ? ticks * Gossip.TICK_PERIOD.toNanos() / 1e9 : Double.POSITIVE_INFINITY;
        return new Outcome(seconds, bytes / (double) daemons.size(), bytesWithoutUpdates, messagesWithoutUpdates);
    }

    private boolean isEverywhere() {
        return stores.stream().allMatch(s -> s.get("config/index").isPresent());
    }

    private void tick() {
        clock.advance(Gossip.TICK_PERIOD);
        for (Gossip g : daemons) {
            g.chooseProbeTarget().ifPresent(m -> probe(g, m));
        }
    }

    private void probe(Gossip from, Member to) {
        ProbeRequest request = from.createRequest(to, to.host());
        count(request.getSerializedSize());
        if (random.nextDouble() < loss) {
            return;
        }
        Gossip target = daemons.get(indexByHost.get(to.host()));
        boolean senderKnown = target.receive(request);
        ProbeReply reply = target.createReply(request.getFrom(), true, senderKnown);
        count(reply.getSerializedSize());
        if (random.nextDouble() >= loss) {
            from.onReply(to, request, reply);
            from.receive(to.host(), reply.getUpdatesList(), reply.getRecordsList());
        }
    }

    private void count(int size) {
        bytes += size;
        messages++;
    }
}
