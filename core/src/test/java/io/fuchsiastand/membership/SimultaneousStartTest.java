package io.fuchsiastand.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.protocol.SyncReply;
import io.fuchsiastand.protocol.SyncRequest;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** All daemons of a fleet in three data centres start at once, or change their records at once. */
class SimultaneousStartTest {

    private static final int DATA_CENTRES = 3;
    private static final int RECORD_BYTES = 500;
    // What the operators allow for a change of the fleet, and for one that a broken link delays.
    private static final Duration STABILITY = Duration.ofSeconds(3);
    private static final Duration ACKNOWLEDGEMENT = Duration.ofSeconds(5);

    private final ManualClock clock = new ManualClock();
    private final Random random = new Random(1);
    private final List<Node> nodes = new ArrayList<>();
    private BiPredicate<Node, Node> cut = (a, b) -> false;
    private long recordBytesAcross;

    @ParameterizedTest
    @ValueSource(ints = {6, 60, 110})
    void bringsAllRecordsToAllHostsInTime(int hosts) {
        start(hosts);
        assertThat(timeUntilAllHave(1)).isAtMost(STABILITY);
        settle();
        changeAllRecords(2);
        assertThat(timeUntilAllHave(2)).isAtMost(STABILITY);
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 60, 110})
    void sendsARecordOverEachLinkBetweenDataCentresAtMostTwice(int hosts) {
        start(hosts);
        settle();
        recordBytesAcross = 0;
        changeAllRecords(2);
        timeUntilAllHave(2);
        assertThat(recordBytesAcross / RECORD_BYTES / hosts).isAtMost(2 * (DATA_CENTRES - 1));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 60, 110})
    void bringsRecordsRoundABrokenLinkBetweenTwoDataCentres(int hosts) {
        start(hosts);
        settle();
        cut = (a, b) -> a.dataCentre() + b.dataCentre() == 1;
        changeAllRecords(2);
        assertThat(timeUntilAllHave(2)).isAtMost(ACKNOWLEDGEMENT);
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 60, 110})
    void bringsTheRecordsOfAHostThatReachesOnlyItsDataCentre(int hosts) {
        start(hosts);
        settle();
        cut = (a, b) -> a == nodes.get(0) && a.dataCentre() != b.dataCentre();
        changeAllRecords(2);
        assertThat(timeUntilAllHave(2)).isAtMost(ACKNOWLEDGEMENT);
    }

    private void start(int hosts) {
        for (int i = 0; i < hosts; i++) {
            nodes.add(new Node(i));
        }
        changeAllRecords(1);
    }

    private void changeAllRecords(long version) {
        nodes.forEach(n -> n.records.put(RecordStore.record(n.recordName(), version, new byte[RECORD_BYTES])));
    }

    // Waits until anti-entropy has found all records equal at all hosts.
    private void settle() {
        timeUntil(n -> n.hasAll(1) && n.gossip.isSynced());
    }

    private Duration timeUntilAllHave(long version) {
        return timeUntil(n -> n.hasAll(version));
    }

    private Duration timeUntil(Predicate<Node> condition) {
        Duration time = Duration.ZERO;
        while (time.toSeconds() < 30 && !nodes.stream().allMatch(condition)) {
            List<Node> order = new ArrayList<>(nodes);
            Collections.shuffle(order, random);
            order.forEach(Node::tick);
            clock.advance(Gossip.TICK_PERIOD);
            time = time.plus(Gossip.TICK_PERIOD);
        }
        return time;
    }

    private final class Node {

        private final int index;
        private final Membership members;
        private final RecordStore records = new RecordStore();
        private final Gossip gossip;
        private int ticks;

        Node(int index) {
            this.index = index;
            Member self = new Member(host(), "10.0.0." + index, 1, 2, "dc" + dataCentre(), 1, MemberState.ALIVE, 0);
            members = new Membership(self, clock, new SplittableRandom(index));
            gossip = new Gossip(members, records, clock);
        }

        int dataCentre() {
            return index % DATA_CENTRES;
        }

        String host() {
            return "h" + index;
        }

        String recordName() {
            return "host/" + host();
        }

        boolean hasAll(long version) {
            return members.reachableCount() == nodes.size()
                    && nodes.stream().allMatch(n -> records.get(n.recordName())
                            .filter(r -> r.getVersion() == version)
                            .isPresent());
        }

        void tick() {
            if (ticks++ % 10 == 0) {
                probeSeeds();
            }
            gossip.chooseProbeTarget().ifPresent(this::probe);
            gossip.chooseTargetsAcross().forEach(this::probe);
            gossip.chooseSyncPartner(false).ifPresent(this::sync);
        }

        private Node find(Member m) {
            return nodes.get(Integer.parseInt(m.host().substring(1)));
        }

        private void probeSeeds() {
            nodes.stream()
                    .filter(n -> members.find(n.host()).isEmpty())
                    .limit(3)
                    .forEach(n -> {
                        n.gossip.receive(host(), List.of(members.self().toUpdate()), List.of());
                        gossip.receiveList(n.members.snapshot());
                    });
        }

        private void probe(Member m) {
            Node to = find(m);
            ProbeRequest request = gossip.createRequest(m, m.host());
            if (cut.test(this, to)) {
                gossip.requeueUndelivered(m, request);
                return;
            }
            boolean known = to.gossip.receive(request);
            ProbeReply reply = to.gossip.createReply(host(), true, known);
            count(to, request.getRecordsList());
            count(to, reply.getRecordsList());
            gossip.onReply(m, request, reply);
            gossip.receive(m.host(), reply.getUpdatesList(), reply.getRecordsList());
        }

        private void sync(Member m) {
            Node with = find(m);
            if (cut.test(this, with)) {
                return;
            }
            SyncReply first = with.records.answerSync(records.startSync(host()));
            Optional<SyncRequest> next = records.continueSync(host(), first);
            if (next.isEmpty()) {
                gossip.onEqualRecords();
                return;
            }
            with.gossip.receive(host(), List.of(), next.get().getRecordsList());
            SyncReply last = with.records.answerSync(next.get());
            count(with, next.get().getRecordsList());
            count(with, last.getRecordsList());
            if (gossip.isSynced()) {
                gossip.receive(m.host(), List.of(), last.getRecordsList());
            } else {
                gossip.receiveWhileJoining(last.getRecordsList());
            }
        }

        private void count(Node to, List<io.fuchsiastand.protocol.Record> sent) {
            if (to.dataCentre() != dataCentre()) {
                recordBytesAcross += (long) sent.size() * RECORD_BYTES;
            }
        }
    }
}
