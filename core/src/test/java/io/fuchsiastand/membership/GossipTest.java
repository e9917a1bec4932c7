package io.fuchsiastand.membership;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GossipTest {

    private static final int REPETITIONS = 100;
    private static final int HOSTS = 110;

    private final ManualClock clock = new ManualClock();
    private final Membership members = new Membership(member("h0"), clock, new SplittableRandom(1));
    private final RecordStore records = new RecordStore();
    private final Gossip gossip = new Gossip(members, records, clock);

    @Test
    void sendsTheUpdatesOfAnUnansweredProbeAgain() {
        records.put(RecordStore.record("host/h0", 1, new byte[1]));
        for (int i = 0; i < REPETITIONS; i++) {
            ProbeRequest lost = gossip.createRequest(member("gone"), "gone");
            assertThat(lost.getUpdatesCount()).isEqualTo(1);
            assertThat(lost.getRecordsCount()).isEqualTo(1);
            gossip.requeueUndelivered(member("gone"), lost);
        }
    }

    @Test
    void stopsSendingUpdatesAfterALimitedNumberOfProbes() {
        records.put(RecordStore.record("host/h0", 1, new byte[1]));
        for (int i = 0; i < REPETITIONS; i++) {
            gossip.createRequest(member("h1"), "h1");
        }

        assertThat(members.hasUpdates()).isFalse();
        assertThat(records.hasGossipUpdates("h1")).isFalse();
    }

    @Test
    void sendsOnlyItsOwnRecordAndStateWhenItJoinsALargeFleet() {
        List<MemberUpdate> list = IntStream.range(1, HOSTS)
                .mapToObj(i -> member("h" + i).toUpdate())
                .toList();
        List<Record> stored = IntStream.range(1, HOSTS)
                .mapToObj(i -> RecordStore.record("host/h" + i, 1, new byte[600]))
                .toList();
        records.put(RecordStore.record("host/h0", 1, new byte[600]));

        gossip.receiveList(list);
        gossip.receiveWhileJoining(stored);

        ProbeRequest sent = gossip.createRequest(member("h1"), "h1");
        assertThat(members.all()).hasSize(HOSTS);
        assertThat(records.size()).isEqualTo(HOSTS);
        assertThat(sent.getUpdatesList().stream().map(MemberUpdate::getHost)).containsExactly("h0");
        assertThat(sent.getRecordsList().stream().map(Record::getName)).containsExactly("host/h0");
    }

    @Test
    void sendsTheListOfAnotherFleetToTheMembersThatItKnows() {
        members.apply(List.of(member("h1").toUpdate()));

        gossip.receiveList(List.of(member("h2").toUpdate()));

        ProbeRequest sent = gossip.createRequest(member("h1"), "h1");
        assertThat(sent.getUpdatesList().stream().map(MemberUpdate::getHost)).contains("h2");
    }

    private Member member(String host) {
        return new Member(host, "127.0.0.1", 1, 2, "zurich", 1, MemberState.ALIVE, clock.nanoTime());
    }
}
