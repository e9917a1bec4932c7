package io.fuchsiastand.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.time.Clock;

/**
 * Hierarchical gossip for many records that change at once: a record crosses to each other data centre once, and spreads
 * there among its hosts. A record whose name ends with the name of a host is sent across by this host, any other record by
 * the {@value #RELAYS} relays of each data centre. A record that a host of the other data centre has not acknowledged is sent
 * to the next host there. What is lost because that host ends before it has passed the record on, anti-entropy delivers.
 *
 * <p>Can be used from any thread.
 */
public final class DataCentreLinks {

    /** Number of hosts of a data centre that send records across that belong to no host. */
    public static final int RELAYS = 2;

    private static final int MAX_MESSAGE_BYTES = 16_384;

    private final Membership members;
    private final RecordStore records;
    private final Clock clock;
    private final long startNanos;
    private final Map<String, Link> links = new HashMap<>();
    // The names of the records that this host sends across, and of those that it sends across while it is a relay.
    private final Set<String> own = new LinkedHashSet<>();
    private final Set<String> shared = new LinkedHashSet<>();
    private long memberChanges = -1;
    private List<String> relays = List.of();

    /** The link to one other data centre. */
    private static final class Link {

        private final Map<String, Long> acknowledged = new HashMap<>();
        // The hosts of the other data centre, the preferred one first.
        private List<Member> hosts = List.of();
        private int failures;
        private boolean outstanding;

        Member host() {
            return hosts.get(failures % hosts.size());
        }
    }

    /**
     * Creates the links of one daemon. Must be called before the first record is stored.
     *
     * @param members the members as this daemon sees them
     * @param records the records of this daemon
     * @param clock the clock
     */
    public DataCentreLinks(Membership members, RecordStore records, Clock clock) {
        this.members = members;
        this.records = records;
        this.clock = clock;
        startNanos = clock.nanoTime();
        records.listenGossip(this::add);
    }

    private synchronized void add(Record record) {
        Optional<String> owner = owner(record.getName());
        if (owner.isEmpty()) {
            shared.add(record.getName());
        } else if (owner.get().equals(members.self().host())) {
            own.add(record.getName());
        }
    }

    private Optional<String> owner(String recordName) {
        return members.find(recordName.substring(recordName.lastIndexOf('/') + 1))
                .map(Member::host);
    }

    /**
     * Returns whether a member is in another data centre than this daemon.
     *
     * @param member the member
     * @return true if messages to the member leave this data centre
     */
    public boolean isAcross(Member member) {
        return !member.dataCentre().equals(members.self().dataCentre());
    }

    /**
     * Returns whether this daemon is the first relay of its data centre.
     *
     * @return true if rendezvous hashing selects it
     */
    public synchronized boolean isFirstRelay() {
        refresh();
        return !relays.isEmpty() && relays.get(0).equals(members.self().host());
    }

    /**
     * Returns the hosts through which this daemon reaches other data centres.
     *
     * @return one host of each other data centre
     */
    public synchronized List<Member> preferredHosts() {
        refresh();
        return links.values().stream().map(Link::host).toList();
    }

    /**
     * Chooses the hosts to which this daemon should send records now.
     *
     * @return for each other data centre that has not acknowledged all records that this daemon sends across, one host,
     *     unless a message to that data centre is outstanding
     */
    public synchronized List<Member> targets() {
        refresh();
        List<Member> out = new ArrayList<>();
        for (Link l : links.values()) {
            if (!l.outstanding && !pending(l).isEmpty()) {
                out.add(l.host());
            }
        }
        return out;
    }

    /**
     * Returns the records to send with a message to a host of another data centre. If there are any, no more are returned for
     * this data centre until {@link #acknowledged} or {@link #failed} is called.
     *
     * @param to the host that receives the message
     * @return the records, of limited total size, but at least one if any is pending
     */
    public synchronized List<Record> take(Member to) {
        refresh();
        Link l = links.get(to.dataCentre());
        if (l == null || l.outstanding) {
            return List.of();
        }
        List<Record> out = new ArrayList<>();
        int bytes = 0;
        for (Record r : pending(l)) {
            if (bytes == 0 || bytes + r.getSerializedSize() <= MAX_MESSAGE_BYTES) {
                bytes += r.getSerializedSize();
                out.add(r);
            }
        }
        l.outstanding = !out.isEmpty();
        return out;
    }

    /**
     * Records that a message with records of {@link #take} was answered.
     *
     * @param to the host that received the message
     * @param sent the records in the message
     */
    public synchronized void acknowledged(Member to, List<Record> sent) {
        Link l = links.get(to.dataCentre());
        if (l != null && !sent.isEmpty()) {
            l.outstanding = false;
            sent.forEach(r -> l.acknowledged.merge(r.getName(), r.getVersion(), Math::max));
        }
    }

    /**
     * Records that a message with records of {@link #take} was not answered. The next message goes to another host.
     *
     * @param to the host that should have received the message
     * @param sent the records in the message
     */
    public synchronized void failed(Member to, List<Record> sent) {
        Link l = links.get(to.dataCentre());
        if (l != null && !sent.isEmpty()) {
            l.outstanding = false;
            l.failures++;
        }
    }

    private List<Record> pending(Link link) {
        List<Record> out = new ArrayList<>();
        addPending(link, own, out);
        // A daemon that starts knows no other host yet, and would take itself for a relay.
        if (relays.contains(members.self().host())
                && clock.nanoTime() - startNanos >= Membership.PROBE_PERIOD.toNanos()) {
            shared.removeIf(n -> owner(n).isPresent());
            addPending(link, shared, out);
        }
        return out;
    }

    private void addPending(Link link, Set<String> names, List<Record> out) {
        for (String n : names) {
            records.get(n)
                    .filter(r -> r.getVersion() > link.acknowledged.getOrDefault(n, -1L))
                    .ifPresent(out::add);
        }
    }

    // A data centre of which no host was reachable gets all records again.
    private void refresh() {
        long changes = members.changeCount();
        if (changes == memberChanges) {
            return;
        }
        memberChanges = changes;
        Member self = members.self();
        Map<String, List<Member>> byDataCentre = new HashMap<>();
        for (Member m : members.reachable()) {
            byDataCentre.computeIfAbsent(m.dataCentre(), d -> new ArrayList<>()).add(m);
        }
        List<Member> near = byDataCentre.remove(self.dataCentre());
        relays = near == null
                ? List.of()
                : Membership.rendezvousOrder("relay", near).stream()
                        .limit(RELAYS)
                        .map(Member::host)
                        .toList();
        links.keySet().retainAll(byDataCentre.keySet());
        Set<String> neighbours = new HashSet<>();
        members.neighbours().forEach(m -> neighbours.add(m.host()));
        byDataCentre.forEach((d, hosts) -> {
            // Connections to the neighbours are open.
            List<Member> ordered = new ArrayList<>(Membership.rendezvousOrder(self.host(), hosts));
            ordered.sort((a, b) -> Integer.compare(cost(a, neighbours), cost(b, neighbours)));
            links.computeIfAbsent(d, k -> new Link()).hosts = ordered;
        });
    }

    private static int cost(Member m, Set<String> neighbours) {
        return (m.state() == MemberState.ALIVE ? 0 : 2) + (neighbours.contains(m.host()) ? 0 : 1);
    }
}
