package io.fuchsiastand.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DataCentreLinksTest {

    private final ManualClock clock = new ManualClock();
    private final Membership members = new Membership(member("h0", "zurich"), clock, new SplittableRandom(1));
    private final RecordStore records = new RecordStore();
    private final DataCentreLinks links = new DataCentreLinks(members, records, clock);

    @BeforeEach
    void addMembers() {
        for (Member m : List.of(member("h1", "basel"), member("h2", "basel"), member("h3", "basel"))) {
            members.apply(List.of(m.toUpdate()));
        }
        put("host/h0", 1);
    }

    @Test
    void triesAllHostsOfADataCentreUntilOneAcknowledges() {
        Set<String> tried = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            Member to = links.targets().get(0);
            tried.add(to.host());
            List<Record> sent = links.take(to);
            assertThat(links.targets()).isEmpty();
            links.failed(to, sent);
        }
        assertThat(tried).containsExactly("h1", "h2", "h3");
        Member to = links.targets().get(0);
        links.acknowledged(to, links.take(to));
        assertThat(links.targets()).isEmpty();
    }

    @Test
    void sendsARecordAgainThatChangedWhileItWasOnItsWay() {
        Member to = links.targets().get(0);
        List<Record> sent = links.take(to);
        put("host/h0", 2);
        links.acknowledged(to, sent);
        assertThat(links.take(links.targets().get(0)).get(0).getVersion()).isEqualTo(2);
    }

    @Test
    void sendsAllItsRecordsAgainToADataCentreThatWasLost() {
        Member to = links.targets().get(0);
        links.acknowledged(to, links.take(to));
        for (String host : List.of("h1", "h2", "h3")) {
            setState(host, MemberState.DEAD, 1);
        }
        assertThat(links.targets()).isEmpty();
        setState("h2", MemberState.ALIVE, 2);
        assertThat(links.targets().stream().map(Member::host)).containsExactly("h2");
    }

    @Test
    void leavesTheRecordsOfOtherHostsToThemAndThoseOfNoHostToTheRelays() {
        Member to = links.targets().get(0);
        links.acknowledged(to, links.take(to));
        put("host/h1", 1);
        put("config/version", 1);
        assertThat(links.targets()).isEmpty();
        clock.advance(Membership.PROBE_PERIOD);
        assertThat(links.take(links.targets().get(0)).stream().map(Record::getName))
                .containsExactly("config/version");
    }

    private void put(String name, long version) {
        records.put(RecordStore.record(name, version, new byte[1]));
    }

    private void setState(String host, MemberState state, long incarnation) {
        Member m = members.find(host).orElseThrow();
        members.apply(List.of(m.withState(state, incarnation, 0).toUpdate()));
    }

    private static Member member(String host, String dataCentre) {
        return new Member(host, "127.0.0.1", 1, 2, dataCentre, 1, MemberState.ALIVE, 0);
    }
}
