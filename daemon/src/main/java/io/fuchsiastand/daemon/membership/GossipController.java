package io.fuchsiastand.daemon.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.LastContact;
import io.fuchsiastand.daemon.board.Section;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.membership.Gossip;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.protocol.SyncReply;
import io.fuchsiastand.protocol.SyncRequest;
import io.fuchsiastand.time.Moment;
import io.grpc.stub.StreamObserver;
import org.tinylog.Logger;

/**
 * Probes neighbours, sends gossip updates with the probes, and obtains records that gossip did not deliver by periodic
 * anti-entropy exchanges with a random neighbour. Probes seeds and dead members, so that this daemon joins or rejoins the
 * fleet, and fetches missing content-addressed records by name. Fetches a newer configuration from a peer that has it in
 * force. Reads the records; writes the members, the time of the last contact with a peer, and the records that peers send.
 */
public final class GossipController {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    // Time between two probes of the seeds that are not members, and between two probes of a dead member.
    private static final Duration REJOIN_PERIOD = Duration.ofSeconds(2);
    private static final int MAX_SEEDS_PER_ROUND = 3;

    private final Blackboard board;
    private final Peers peers;
    private final Gossip gossip;
    private final Supplier<List<String>> missingRecords;
    private final SplittableRandom random = new SplittableRandom();
    private final Set<Settings.Endpoint> seeds = ConcurrentHashMap.newKeySet();
    // The newest version of the configuration that a peer has in force, and the host that has last said so, or null.
    private final AtomicLong newestVersion = new AtomicLong();
    private final AtomicReference<String> newestVersionHolder = new AtomicReference<>();
    // The outstanding probes on behalf of other members, by the host that is probed.
    private final Map<String, CompletableFuture<Boolean>> indirectProbes = new ConcurrentHashMap<>();
    // When the seeds and a dead member were last probed; 0 to probe them at the next tick.
    private volatile long lastSeedProbe;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param missingRecords returns the names of the content-addressed records that this daemon needs and does not have
     */
    public GossipController(Blackboard board, Peers peers, Supplier<List<String>> missingRecords) {
        this.board = board;
        this.peers = peers;
        this.missingRecords = missingRecords;
        gossip = new Gossip(board.members(), board.records(), board.clock());
        seeds.addAll(board.settings().seeds());
    }

    /**
     * Adds seeds, which are addresses of daemons through which this daemon joins the fleet. If any of them is new, this
     * daemon probes seeds at its next tick.
     *
     * @param found the addresses in the join records of the platform
     */
    public void addSeeds(Collection<Settings.Endpoint> found) {
        if (seeds.addAll(found)) {
            lastSeedProbe = 0;
        }
    }

    /**
     * Returns whether this daemon knows of no other host, neither as a member nor as a seed.
     *
     * @return true if it knows none
     */
    public boolean isAlone() {
        return seeds.isEmpty() && board.members().all().size() == 1;
    }

    /**
     * Returns whether anti-entropy exchanges have found no difference since the start; see {@link Gossip#isSynced}.
     *
     * @return true once they have found none
     */
    public boolean isSynced() {
        return gossip.isSynced();
    }

    /**
     * Applies the timeouts of members. When they are due, probes seeds, a dead member and a neighbour, and starts an
     * anti-entropy exchange. Fetches missing content-addressed records.
     */
    public void tick() {
        long now = board.clock().nanoTime();
        Membership members = board.members();
        members.expire();
        if (now - lastSeedProbe >= REJOIN_PERIOD.toNanos() || lastSeedProbe == 0) {
            lastSeedProbe = now;
            probeSeeds();
            members.randomDeadMember().ifPresent(m -> sendProbe(m, m.host(), Membership.PROBE_TIMEOUT));
        }
        if (members.neighbours().isEmpty()) {
            return;
        }
        gossip.chooseProbeTarget().ifPresent(this::probe);
        sendRecordsAcross();
        boolean outdated = newestVersion.get() > versionInForce();
        boolean urgent = outdated || !board.lastContact().get().isConfigurationSourceAvailable();
        gossip.chooseSyncPartner(urgent).ifPresent(this::sync);
        Optional<Member> holder = outdated ? takeHolder() : Optional.empty();
        List<String> names = missingRecords.get();
        if (holder.isPresent()) {
            fetchConfiguration(holder.get());
        } else if (!names.isEmpty()) {
            fetch(randomNeighbour(), names);
        }
    }

    private void sendRecordsAcross() {
        gossip.chooseTargetsAcross().forEach(m -> sendProbe(m, m.host(), Membership.PROBE_TIMEOUT));
    }

    private long versionInForce() {
        return board.configuration().get().configuration().version();
    }

    private Optional<Member> takeHolder() {
        return Optional.ofNullable(newestVersionHolder.getAndSet(null)).flatMap(board.members()::find);
    }

    // A daemon stores the record of a version when its configuration is in force. The record of a peer is not stored
    // here, so that each daemon that sends one can be asked for the configuration.
    private void onVersion(String host, long version) {
        if (version <= versionInForce()) {
            return;
        }
        long before = newestVersion.getAndAccumulate(version, Math::max);
        if (version >= before) {
            newestVersionHolder.set(host);
        }
        // Otherwise the own source most likely delivers the version before the next tick.
        if (version > before && !board.lastContact().get().isConfigurationSourceAvailable()) {
            takeHolder().ifPresent(this::fetchConfiguration);
        }
    }

    private void fetchConfiguration(Member holder) {
        Logger.info(
                "fetching version {} of the configuration, which is newer than version {}, from {}",
                newestVersion.get(),
                versionInForce(),
                holder.host());
        fetch(holder, List.of(ConfigurationCodec.INDEX_NAME)).thenRun(() -> {
            List<String> chunks = missingRecords.get();
            if (!chunks.isEmpty()) {
                fetch(holder, chunks);
            }
        });
    }

    /**
     * Answers a probe.
     *
     * @param request the probe
     * @param replyConsumer called with the reply, after the indirect probe if the target is another member
     */
    public void onProbe(ProbeRequest request, Consumer<ProbeReply> replyConsumer) {
        boolean known = board.members().find(request.getFrom()).isPresent();
        receive(request.getFrom(), request.getUpdatesList(), request.getRecordsList());
        String self = board.settings().host();
        // A probe without a target comes from a daemon that joins the fleet. The reply lists all members.
        if (request.getTarget().isEmpty()) {
            replyConsumer.accept(ProbeReply.newBuilder()
                    .setAcknowledged(true)
                    .addAllUpdates(board.members().snapshot())
                    .build());
        } else if (request.getTarget().equals(self)) {
            replyConsumer.accept(gossip.createReply(request.getFrom(), true, known));
        } else {
            Member target = board.members().find(request.getTarget()).orElse(null);
            if (target == null || hasAddressOfThisHost(target)) {
                replyConsumer.accept(gossip.createReply(request.getFrom(), false, known));
                return;
            }
            probeOnBehalf(target)
                    .thenAccept(a -> replyConsumer.accept(gossip.createReply(request.getFrom(), a, known)));
        }
    }

    // After a host has ended, another one may get its address and then receives its probes.
    private boolean hasAddressOfThisHost(Member m) {
        Member self = board.members().self();
        return m.address().equals(self.address()) && m.peerPort() == self.peerPort();
    }

    // All members that ask at the same time share one probe. If each got its own, a probe that comes back here, because
    // the target has the address of another host, would be passed on without end.
    private CompletableFuture<Boolean> probeOnBehalf(Member target) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        CompletableFuture<Boolean> running = indirectProbes.putIfAbsent(target.host(), result);
        if (running != null) {
            return running;
        }
        sendProbe(target, target.host(), Membership.PROBE_TIMEOUT).whenComplete((r, e) -> {
            indirectProbes.remove(target.host());
            result.complete(e == null && r.getAcknowledged());
        });
        return result;
    }

    /**
     * Answers a request of an anti-entropy exchange.
     *
     * @param request the request
     * @return the reply
     */
    public SyncReply onSync(SyncRequest request) {
        receive(request.getFrom(), List.of(), request.getRecordsList());
        return board.records().answerSync(request);
    }

    /** Marks this daemon as having left the fleet and notifies its neighbours. */
    public void leave() {
        board.members().leave();
        for (Member m : board.members().neighbours()) {
            sendProbe(m, m.host(), Membership.PROBE_TIMEOUT);
        }
        sendRecordsAcross();
    }

    // Probes seeds that are not members yet. In this way two groups of daemons that started separately form one fleet.
    private void probeSeeds() {
        ProbeRequest request = ProbeRequest.newBuilder()
                .setFrom(board.settings().host())
                .addUpdates(board.members().self().toUpdate())
                .build();
        seeds.stream()
                .filter(s -> board.members().all().stream()
                        .noneMatch(m -> m.peerPort() == s.port() && m.address().equals(s.host())))
                .limit(MAX_SEEDS_PER_ROUND)
                .forEach(s -> peers.<ProbeReply>call(
                                s.host(), s.port(), CALL_TIMEOUT, (stub, o) -> stub.probe(request, o))
                        .whenComplete((r, e) -> {
                            if (e == null) {
                                Logger.info(
                                        "the seed at {}:{} answered and sent its list of members", s.host(), s.port());
                                // The reply of a seed has no records.
                                gossip.receiveList(r.getUpdatesList());
                                recordPeerContact();
                            } else if (seeds.size() > MAX_SEEDS_PER_ROUND) {
                                // The join records of hosts that no longer exist must not use up the limit, since
                                // this daemon would then never probe the other seeds.
                                seeds.remove(s);
                            }
                        }));
    }

    private void probe(Member target) {
        sendProbe(target, target.host(), Membership.PROBE_TIMEOUT).whenComplete((r, e) -> {
            if (e != null || !r.getAcknowledged()) {
                probeIndirectly(target);
            }
        });
    }

    private void probeIndirectly(Member target) {
        List<Member> intermediaries = board.members().intermediaries(target.host());
        if (intermediaries.isEmpty()) {
            board.members().suspect(target.host());
            return;
        }
        AtomicInteger outstanding = new AtomicInteger(intermediaries.size());
        AtomicInteger acknowledged = new AtomicInteger();
        for (Member h : intermediaries) {
            sendProbe(h, target.host(), Membership.PROBE_TIMEOUT.multipliedBy(2))
                    .whenComplete((r, e) -> {
                        if (e == null && r.getAcknowledged()) {
                            acknowledged.incrementAndGet();
                        }
                        if (outstanding.decrementAndGet() == 0 && acknowledged.get() == 0) {
                            board.members().suspect(target.host());
                        }
                    });
        }
    }

    private CompletableFuture<ProbeReply> sendProbe(Member to, String target, Duration timeout) {
        ProbeRequest request = gossip.createRequest(to, target);
        Moment sent = Moment.now(board.clock());
        return peers.<ProbeReply>call(to, timeout, (stub, o) -> stub.probe(request, o))
                .whenComplete((r, e) -> {
                    if (e == null) {
                        gossip.onReply(to, request, r);
                        if (r.getAcknowledged()) {
                            setIfLater(board.lastAnsweredProbe(), sent);
                        }
                        receive(to.host(), r.getUpdatesList(), r.getRecordsList());
                    } else {
                        gossip.requeueUndelivered(to, request);
                    }
                });
    }

    private void sync(Member with) {
        String self = board.settings().host();
        SyncRequest first = board.records().startSync(self);
        Moment started = Moment.now(board.clock());
        sendSync(with, first).thenAccept(r -> {
            Optional<SyncRequest> next = board.records().continueSync(self, r);
            if (next.isEmpty()) {
                gossip.onEqualRecords();
                setIfLater(board.lastExchange(), started);
                return;
            }
            boolean joining = !gossip.isSynced();
            sendSync(with, next.get()).thenAccept(reply -> {
                List<Record> others = withoutVersion(with.host(), reply.getRecordsList());
                if (joining) {
                    gossip.receiveWhileJoining(others);
                } else {
                    gossip.receive(with.host(), List.of(), others);
                }
                setIfLater(board.lastExchange(), started);
                recordPeerContact();
            });
        });
    }

    private CompletableFuture<Void> fetch(Member from, List<String> names) {
        SyncRequest request = SyncRequest.newBuilder()
                .setFrom(board.settings().host())
                .addAllWanted(names)
                .build();
        return sendSync(from, request).thenAccept(r -> {
            r.getRecordsList().forEach(board.records()::putWithoutGossip);
            recordPeerContact();
        });
    }

    private CompletableFuture<SyncReply> sendSync(Member to, SyncRequest request) {
        return peers.call(
                to, CALL_TIMEOUT, (PeerGrpc.PeerStub stub, StreamObserver<SyncReply> o) -> stub.sync(request, o));
    }

    private void receive(String from, List<MemberUpdate> updates, List<Record> records) {
        gossip.receive(from, updates, withoutVersion(from, records));
        recordPeerContact();
    }

    private List<Record> withoutVersion(String from, List<Record> records) {
        List<Record> others = new ArrayList<>();
        for (Record r : records) {
            if (r.getName().equals(ConfigurationCodec.VERSION_NAME)) {
                onVersion(from, r.getVersion());
            } else {
                others.add(r);
            }
        }
        return others;
    }

    private void recordPeerContact() {
        LastContact c = board.lastContact().get();
        board.lastContact()
                .set(new LastContact(c.platformNanos(), board.clock().nanoTime(), c.isConfigurationSourceAvailable()));
    }

    private synchronized void setIfLater(Section<Optional<Moment>> section, Moment m) {
        if (m.isAfter(section.get().orElse(null))) {
            section.set(Optional.of(m));
        }
    }

    private Member randomNeighbour() {
        List<Member> all = board.members().neighbours();
        return all.get(random.nextInt(all.size()));
    }
}
