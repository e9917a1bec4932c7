package io.fuchsiastand.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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

    private final Membership members;
    private final RecordStore records;
    private final Clock clock;
    private long lastProbeNanos;

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
    }

    /**
     * Chooses the neighbour to probe at this tick, if a probe is due, and sets the time of the last probe to now.
     *
     * @return the neighbour, or empty if no probe is due or this daemon has no neighbour
     */
    public Optional<Member> chooseProbeTarget() {
        boolean hasUpdates = members.hasUpdates() || records.hasGossipUpdates();
        long now = clock.nanoTime();
        if (!hasUpdates && now - lastProbeNanos < Membership.PROBE_PERIOD.toNanos()) {
            return Optional.empty();
        }
        lastProbeNanos = now;
        return members.nextNeighbour();
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
                .addAllRecords(records.takeGossipUpdates());
        if (to.state() != MemberState.ALIVE) {
            // A receiver that is not recorded as alive gets this update about itself, so that it can refute the state.
            b.addUpdates(to.toUpdate());
        }
        return b.build();
    }

    /**
     * Queues the updates of an unanswered request for sending again, so that updates sent to a failed host are not lost.
     *
     * @param request the unanswered request
     */
    public void requeueUndelivered(ProbeRequest request) {
        members.requeueUpdates(request.getUpdatesList());
        records.requeueGossipUpdates(request.getRecordsList());
    }

    /**
     * Applies the updates that a probe carries.
     *
     * @param request the probe
     * @return true if the sender was a known member before this call
     */
    public boolean receive(ProbeRequest request) {
        boolean known = members.find(request.getFrom()).isPresent();
        receive(request.getUpdatesList(), request.getRecordsList());
        return known;
    }

    /**
     * Applies updates from another daemon.
     *
     * @param updates member changes
     * @param newRecords new records
     */
    public void receive(List<MemberUpdate> updates, List<Record> newRecords) {
        members.apply(updates);
        newRecords.forEach(records::put);
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
     * Creates the reply to a probe.
     *
     * @param acknowledged whether the target of the probe answered
     * @param known whether the sender was a known member; the reply to an unknown sender lists all members
     * @return the reply
     */
    public ProbeReply createReply(boolean acknowledged, boolean known) {
        List<MemberUpdate> updates = new ArrayList<>(members.takeUpdates());
        if (!known) {
            updates.addAll(members.snapshot());
        }
        return ProbeReply.newBuilder()
                .setAcknowledged(acknowledged)
                .addAllUpdates(updates)
                .addAllRecords(records.takeGossipUpdates())
                .build();
    }
}
