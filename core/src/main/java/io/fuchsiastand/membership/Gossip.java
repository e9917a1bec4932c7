package io.fuchsiastand.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.fuchsiastand.key.Digests;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.time.Clock;

/**
 * Creates and processes the probes and probe replies of one daemon, and the gossip updates that both carry: member
 * changes and new records. A daemon that has updates to send probes a neighbour at each tick. A daemon without updates
 * probes a neighbour once per {@link Membership#PROBE_PERIOD}.
 */
public final class Gossip {

    /** Time between two ticks. At each tick, a daemon that has neighbours calls {@link #chooseProbeTarget}. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(200);

    // Time between two anti-entropy exchanges while this daemon may lack records.
    private static final Duration URGENT_SYNC_PERIOD = Duration.ofMillis(700);
    // Time between two exchanges of the first relay with other data centres.
    private static final Duration RELAY_SYNC_PERIOD = Duration.ofSeconds(1);
    // Time between two exchanges otherwise.
    private static final Duration SYNC_PERIOD = Duration.ofSeconds(5);

    private final Membership members;
    private final RecordStore records;
    private final DataCentreLinks links;
    private final Clock clock;
    private final SplittableRandom random;
    private final long startNanos;
    private long lastProbeNanos;
    private long lastSyncNanos;
    private int exchangesAcross;
    private volatile boolean synced;

    /**
     * Creates the gossip state of one daemon.
     *
     * @param members the members as this daemon sees them
     * @param records the records of this daemon
     * @param clock the clock
     */
    public Gossip(Membership members, RecordStore records, Clock clock) {
        this.members = members;
        this.records = records;
        this.clock = clock;
        random = new SplittableRandom(Digests.hash64(members.self().host()));
        startNanos = clock.nanoTime();
        links = new DataCentreLinks(members, records, clock);
    }

    /**
     * Chooses the neighbour to probe at this tick, if a probe is due, and sets the time of the last probe to now. If only
     * records are to be sent, the neighbour is one of the own data centre.
     *
     * @return the neighbour, or empty if no probe is due or this daemon has no neighbour
     */
    public Optional<Member> chooseProbeTarget() {
        long now = clock.nanoTime();
        if (members.hasUpdates() || now - lastProbeNanos >= Membership.PROBE_PERIOD.toNanos()) {
            lastProbeNanos = now;
            return members.nextNeighbour();
        }
        List<String> near = nearNeighbours().map(Member::host).toList();
        if (!near.isEmpty()) {
            records.endGossipUpdates(near);
        }
        return nearNeighbours().filter(m -> records.hasGossipUpdates(m.host())).findFirst();
    }

    /**
     * Chooses the members of other data centres to which records are to be sent at this tick with a further probe.
     *
     * @return at most one member for each other data centre
     */
    public List<Member> chooseTargetsAcross() {
        return links.targets();
    }

    /**
     * Chooses the partner of an anti-entropy exchange, if one is due at this tick, and sets the time of the last exchange to
     * now. The first relay of a data centre looks in other data centres for records that have not crossed. All other
     * exchanges are within the data centre, unless this daemon knows no other host there.
     *
     * @param urgent whether this daemon may lack records
     * @return the partner, or empty if no exchange is due or this daemon has no neighbour
     */
    public Optional<Member> chooseSyncPartner(boolean urgent) {
        long now = clock.nanoTime();
        boolean searches = synced && links.isFirstRelay();
        // While a fleet starts, records that a daemon got by an exchange are not sent on, so that others may lack them.
        boolean starting = !synced || now - startNanos < SYNC_PERIOD.toNanos();
        Duration period = urgent || starting ? URGENT_SYNC_PERIOD : searches ? RELAY_SYNC_PERIOD : SYNC_PERIOD;
        if (lastSyncNanos != 0 && now - lastSyncNanos < period.toNanos()) {
            return Optional.empty();
        }
        List<Member> near = nearNeighbours().toList();
        List<Member> across = links.preferredHosts();
        List<Member> candidates = new ArrayList<>(searches && !across.isEmpty() ? List.of() : near);
        if (!across.isEmpty() && (searches || urgent || near.isEmpty())) {
            candidates.add(across.get(Math.floorMod(exchangesAcross++, across.size())));
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        lastSyncNanos = now;
        return Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Records that an anti-entropy exchange has found no difference. */
    public void onEqualRecords() {
        synced = true;
    }

    /**
     * Returns whether, since the start, an anti-entropy exchange has found no difference between the records of this daemon
     * and those of a neighbour. The exchange does not compare content-addressed records.
     *
     * @return true once an exchange has found no difference
     */
    public boolean isSynced() {
        return synced;
    }

    private Stream<Member> nearNeighbours() {
        return members.neighbours().stream().filter(m -> !links.isAcross(m));
    }

    /**
     * Creates a probe that carries the pending updates.
     *
     * @param to the member that receives the message
     * @param target the host to probe; in an indirect probe it differs from the host of the receiver
     * @return the probe
     */
    public ProbeRequest createRequest(Member to, String target) {
        ProbeRequest.Builder b = ProbeRequest.newBuilder()
                .setFrom(members.self().host())
                .setTarget(target)
                .addAllUpdates(members.takeUpdates())
                .addAllRecords(links.isAcross(to) ? links.take(to) : records.takeGossipUpdates(to.host()));
        if (to.state() != MemberState.ALIVE) {
            // A receiver that is not recorded as alive gets this update about itself, so that it can refute the state.
            b.addUpdates(to.toUpdate());
        }
        return b.build();
    }

    /**
     * Queues the updates of an unanswered request for sending again, so that updates sent to a failed host are not lost.
     *
     * @param to the member that the request was sent to
     * @param request the unanswered request
     */
    public void requeueUndelivered(Member to, ProbeRequest request) {
        members.requeueUpdates(request.getUpdatesList());
        if (links.isAcross(to)) {
            links.failed(to, request.getRecordsList());
        } else {
            records.requeueGossipUpdates(
                    request.getRecordsList(),
                    to.host(),
                    nearNeighbours().map(Member::host).toList());
        }
    }

    /**
     * Records that a request was answered. If it was a direct probe that was not acknowledged, another host has the address
     * of the member, which has not got the updates.
     *
     * @param to the member that the request was sent to
     * @param request the request
     * @param reply the reply
     */
    public void onReply(Member to, ProbeRequest request, ProbeReply reply) {
        if (!reply.getAcknowledged() && request.getTarget().equals(to.host())) {
            requeueUndelivered(to, request);
        } else if (links.isAcross(to)) {
            links.acknowledged(to, request.getRecordsList());
        }
    }

    /**
     * Applies the updates that a probe carries.
     *
     * @param request the probe
     * @return true if the sender was a known member before this call
     */
    public boolean receive(ProbeRequest request) {
        boolean known = members.find(request.getFrom()).isPresent();
        receive(request.getFrom(), request.getUpdatesList(), request.getRecordsList());
        return known;
    }

    /**
     * Applies updates from another daemon.
     *
     * @param from the host of that daemon
     * @param updates member changes
     * @param newRecords new records
     */
    public void receive(String from, List<MemberUpdate> updates, List<Record> newRecords) {
        members.apply(updates);
        newRecords.forEach(r -> records.put(r, from));
    }

    /**
     * Applies the list of members that a daemon of the fleet sends to one that joins it. If this daemon has known no other
     * member, it does not send the updates on, since the fleet has them. Otherwise two groups of daemons become one, and its
     * own group needs them.
     *
     * @param list the members
     */
    public void receiveList(List<MemberUpdate> list) {
        members.applyList(list);
    }

    /**
     * Stores the records that this daemon gets by anti-entropy while it joins the fleet. It does not send them on, since the
     * fleet has them.
     *
     * @param newRecords the records
     */
    public void receiveWhileJoining(List<Record> newRecords) {
        newRecords.forEach(records::putWithoutGossip);
    }

    /**
     * Creates the reply to a probe. It carries records only within the data centre.
     *
     * @param from the host that sent the probe
     * @param acknowledged whether the target of the probe answered
     * @param known whether the sender was a known member; the reply to an unknown sender lists all members
     * @return the reply
     */
    public ProbeReply createReply(String from, boolean acknowledged, boolean known) {
        boolean near = members.find(from).filter(m -> !links.isAcross(m)).isPresent();
        List<MemberUpdate> updates = new ArrayList<>(members.takeUpdates());
        if (!known) {
            updates.addAll(members.snapshot());
        }
        return ProbeReply.newBuilder()
                .setAcknowledged(acknowledged)
                .addAllUpdates(updates)
                .addAllRecords(near ? records.takeGossipUpdates(from) : List.of())
                .build();
    }
}
