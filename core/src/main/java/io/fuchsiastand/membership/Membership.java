package io.fuchsiastand.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.fuchsiastand.key.Digests;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.time.Clock;

/**
 * The members of the fleet, with the states that one daemon has recorded for them. Implements a SWIM failure detector:
 * direct and indirect probes, a suspected state before a member is declared dead, and incarnation numbers with which a
 * live member refutes a suspicion. SWIM probes random targets; here each daemon probes its successors on a few hash
 * rings, so that it needs only a few connections and can keep them open.
 *
 * <p>Members can be read and changed from any thread. Listeners are called without the lock, one at a time and in the order
 * of the changes. If several threads change members at the same time, one of them calls the listeners for all. A method that
 * changes members can therefore return before the listeners have received its changes. A listener can read and change
 * members; its changes are delivered after the one that it has received. If a listener fails, the method that called it
 * fails, and the next method that changes members or {@link #expire} delivers the remaining changes.
 */
public final class Membership {

    /** Time between two probes that a daemon sends when it has no updates to pass on. */
    public static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
    /** Time within which a member must answer a direct probe. An indirect probe has twice this time. */
    public static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);
    /** Time after which a suspected member that has not refuted the suspicion is declared dead. */
    public static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(3);
    /** Time for which dead members, and members that left, are kept, so that an outdated update does not revive them. */
    public static final Duration DEAD_RETENTION = Duration.ofMinutes(10);
    /** Maximum number of members that {@link #intermediaries} returns. */
    public static final int MAX_INTERMEDIARIES = 2;

    private static final int LOCAL_RINGS = 2;
    private static final int GLOBAL_RINGS = 2;
    private static final int RINGS = LOCAL_RINGS + GLOBAL_RINGS;
    private static final int MAX_UPDATES_PER_MESSAGE = 32;
    // Factor by which the number of transmissions of an update is multiplied. A larger factor delivers updates more
    // reliably, with more traffic.
    private static final int TRANSMISSION_FACTOR = 1;

    private final String self;
    private final Clock clock;
    private final RandomGenerator random;
    private final Map<String, Member> members = new ConcurrentHashMap<>();
    private final Map<String, Integer> remainingTransmissions = new LinkedHashMap<>();
    private final List<Consumer<Member>> listeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<String>> removalListeners = new CopyOnWriteArrayList<>();
    // Calls of listeners that are due, in the order of the changes.
    private final Deque<Runnable> notifications = new ArrayDeque<>();
    private boolean notifying;
    private final Map<String, long[]> ringPositions = new HashMap<>();
    // Null after a member change. Recomputed on the next use only, since a joining daemon applies many changes at once.
    private List<Member> neighbours = List.of();
    // The incarnations that this process has had, one after the other.
    private final Set<Long> ownIncarnations = new HashSet<>();
    private int lastProbedIndex;
    private int reachableCount = 1;
    private long changes;

    /**
     * Creates the member list of one daemon, which contains only that daemon.
     *
     * @param self the member that represents this daemon, in state ALIVE
     * @param clock the clock
     * @param random the random number generator
     */
    public Membership(Member self, Clock clock, RandomGenerator random) {
        this.self = self.host();
        this.clock = clock;
        this.random = random;
        members.put(self.host(), self);
        ownIncarnations.add(self.incarnation());
        enqueueUpdate(self.host());
    }

    /**
     * Returns whether this process has or had an incarnation. A process has more than one if it had to replace wrong updates
     * about itself.
     *
     * @param incarnation the incarnation
     * @return true if this process has used it
     */
    public synchronized boolean hasHadIncarnation(long incarnation) {
        return ownIncarnations.contains(incarnation);
    }

    /**
     * Registers a listener that is called when a member is added or its state or incarnation changes.
     *
     * @param listener called with the new or changed member
     */
    public void listen(Consumer<Member> listener) {
        listeners.add(listener);
    }

    /**
     * Registers a listener for the removal of members, which happens {@link #DEAD_RETENTION} after they died or left.
     *
     * @param listener called with the host name of the removed member
     */
    public void listenRemoved(Consumer<String> listener) {
        removalListeners.add(listener);
    }

    /**
     * Returns the member that represents this daemon.
     *
     * @return the member
     */
    public Member self() {
        return members.get(self);
    }

    /**
     * Finds a member. Does not take the lock of the members, so that it can be called while other locks are held.
     *
     * @param host the name of its host
     * @return the member, or empty if the host is unknown
     */
    public Optional<Member> find(String host) {
        return Optional.ofNullable(members.get(host));
    }

    /**
     * Returns all known members, including those that are dead or have left and are not removed yet.
     *
     * @return the members
     */
    public synchronized List<Member> all() {
        return List.copyOf(members.values());
    }

    /**
     * Returns the reachable members (alive or suspected), including this daemon.
     *
     * @return the members
     */
    public synchronized List<Member> reachable() {
        return members.values().stream().filter(Member::isReachable).toList();
    }

    /**
     * Returns the number of reachable members, including this daemon.
     *
     * @return the number
     */
    public synchronized int reachableCount() {
        return reachableCount;
    }

    /**
     * Returns the number of changes of members so far, by which a caller notices that what it derived from the members is
     * outdated.
     *
     * @return a number that rises with each change
     */
    public synchronized long changeCount() {
        return changes;
    }

    /**
     * Returns the neighbours: the members that this daemon probes in turn, and from which it chooses the peers of its
     * anti-entropy exchanges.
     *
     * @return the successors on the hash rings
     */
    public synchronized List<Member> neighbours() {
        if (neighbours == null) {
            neighbours = successors();
        }
        return neighbours;
    }

    /**
     * Chooses the next neighbour to probe, in round-robin order.
     *
     * @return the neighbour, or empty if this daemon has none
     */
    public synchronized Optional<Member> nextNeighbour() {
        List<Member> all = neighbours();
        if (all.isEmpty()) {
            return Optional.empty();
        }
        lastProbedIndex = (lastProbedIndex + 1) % all.size();
        return Optional.of(all.get(lastProbedIndex));
    }

    /**
     * Chooses random members that can pass a message on to a member that did not answer, for example an indirect probe.
     *
     * @param target the host name of the member that did not answer
     * @return at most {@link #MAX_INTERMEDIARIES} alive members, without this daemon and the target
     */
    public synchronized List<Member> intermediaries(String target) {
        List<Member> out = new ArrayList<>(members.values().stream()
                .filter(m -> m.state() == MemberState.ALIVE)
                .filter(m -> !m.host().equals(self) && !m.host().equals(target))
                .toList());
        while (out.size() > MAX_INTERMEDIARIES) {
            out.remove(random.nextInt(out.size()));
        }
        return out;
    }

    /**
     * Chooses a random dead member. A daemon probes dead members to find those that have restarted. This also works if
     * the restarted daemon has no address of another daemon.
     *
     * @return a dead member, or empty if there is none
     */
    public synchronized Optional<Member> randomDeadMember() {
        List<Member> dead = members.values().stream()
                .filter(m -> m.state() == MemberState.DEAD)
                .toList();
        return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
    }

    /**
     * Marks a member as suspected, because it answered neither a direct nor an indirect probe. Does nothing if the member
     * is unknown, is not alive, or is this daemon.
     *
     * @param host the name of its host
     */
    public void suspect(String host) {
        synchronized (this) {
            Member m = members.get(host);
            if (m != null && m.state() == MemberState.ALIVE && !host.equals(self)) {
                recordMember(m.withState(MemberState.SUSPECT, m.incarnation(), clock.nanoTime()));
            }
        }
        notifyListeners();
    }

    /**
     * Declares members dead that have been suspected for {@link #SUSPICION_TIMEOUT}, and removes members that died or
     * left {@link #DEAD_RETENTION} ago.
     */
    public void expire() {
        applyTimeouts();
        notifyListeners();
    }

    private synchronized void applyTimeouts() {
        long now = clock.nanoTime();
        for (Member m : List.copyOf(members.values())) {
            long age = now - m.stateSinceNanos();
            if (m.state() == MemberState.SUSPECT && age >= SUSPICION_TIMEOUT.toNanos()) {
                recordMember(m.withState(MemberState.DEAD, m.incarnation(), now));
            } else if (!m.isReachable() && age >= DEAD_RETENTION.toNanos()) {
                members.remove(m.host());
                changes++;
                remainingTransmissions.remove(m.host());
                ringPositions.remove(m.host());
                notifications.add(() -> removalListeners.forEach(l -> l.accept(m.host())));
            }
        }
    }

    /**
     * Applies member updates from another daemon.
     *
     * @param updates the updates
     */
    public void apply(Collection<MemberUpdate> updates) {
        apply(updates, false);
    }

    /**
     * Applies a list of members from another daemon. Does not queue the updates for sending if this daemon knows no other
     * member.
     *
     * @param list updates about all members that the other daemon knows
     */
    public void applyList(Collection<MemberUpdate> list) {
        apply(list, true);
    }

    private void apply(Collection<MemberUpdate> updates, boolean isList) {
        synchronized (this) {
            boolean alone = members.size() == 1;
            for (MemberUpdate u : updates) {
                if (u.getHost().equals(self)) {
                    refute(u);
                } else if (isNewer(members.get(u.getHost()), u)) {
                    recordMember(Member.of(u, clock.nanoTime()));
                }
            }
            if (isList && alone) {
                remainingTransmissions.keySet().retainAll(Set.of(self));
            }
        }
        notifyListeners();
    }

    /** Marks this daemon as having left the fleet and queues the update for sending. */
    public void leave() {
        synchronized (this) {
            Member m = members.get(self);
            recordMember(m.withState(MemberState.LEFT, m.incarnation(), clock.nanoTime()));
        }
        notifyListeners();
    }

    /**
     * Returns the member updates to send with one message and lowers the remaining transmissions of each by one.
     *
     * @return at most 32 updates, those with the most transmissions left first
     */
    public synchronized List<MemberUpdate> takeUpdates() {
        List<String> hosts = remainingTransmissions.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(MAX_UPDATES_PER_MESSAGE)
                .map(Map.Entry::getKey)
                .toList();
        List<MemberUpdate> out = new ArrayList<>();
        for (String h : hosts) {
            out.add(members.get(h).toUpdate());
            remainingTransmissions.computeIfPresent(h, (k, left) -> left > 1 ? left - 1 : null);
        }
        return out;
    }

    /**
     * Queues updates for one more transmission, because a message that carried them was not answered.
     *
     * @param updates the updates
     */
    public synchronized void requeueUpdates(Collection<MemberUpdate> updates) {
        for (MemberUpdate u : updates) {
            if (members.containsKey(u.getHost())) {
                remainingTransmissions.merge(
                        u.getHost(), 1, (left, more) -> Math.min(left + more, transmissionsPerUpdate()));
            }
        }
    }

    /**
     * Returns whether there are member updates to send.
     *
     * @return true if updates are pending
     */
    public synchronized boolean hasUpdates() {
        return !remainingTransmissions.isEmpty();
    }

    /**
     * Returns updates about all members, for a daemon that joins the fleet.
     *
     * @return the updates
     */
    public synchronized List<MemberUpdate> snapshot() {
        return members.values().stream().map(Member::toUpdate).toList();
    }

    /**
     * Orders members by rendezvous hashing, so that all daemons choose the same members from the same candidates.
     *
     * @param purpose the name of the task that the members are chosen for, which is part of the hash
     * @param candidates the members to order
     * @return the members, the preferred one first
     */
    public static List<Member> rendezvousOrder(String purpose, Collection<Member> candidates) {
        return candidates.stream()
                .map(m -> new Ranked(m, Digests.hash64(purpose + '/' + m.host())))
                .sorted(Comparator.comparingLong(Ranked::rank)
                        .thenComparing(r -> r.member().host()))
                .map(Ranked::member)
                .toList();
    }

    private record Ranked(Member member, long rank) {}

    private void refute(MemberUpdate u) {
        Member me = members.get(self);
        boolean hasLeft = me.state() == MemberState.LEFT;
        boolean claimsNotAlive = u.getState() != MemberState.ALIVE && u.getIncarnation() >= me.incarnation();
        // Only this host increases its incarnation, so a higher one comes from an earlier process of this daemon.
        boolean fromEarlierProcess = u.getState() == MemberState.ALIVE && u.getIncarnation() > me.incarnation();
        if (!hasLeft && (claimsNotAlive || fromEarlierProcess)) {
            ownIncarnations.add(u.getIncarnation() + 1);
            recordMember(me.withState(MemberState.ALIVE, u.getIncarnation() + 1, clock.nanoTime()));
        }
    }

    private static boolean isNewer(Member known, MemberUpdate u) {
        if (known == null) {
            return true;
        }
        if (u.getIncarnation() != known.incarnation()) {
            return u.getIncarnation() > known.incarnation();
        }
        // At the same incarnation a later state in the order ALIVE, SUSPECT, DEAD, LEFT wins.
        return u.getState().getNumber() > known.state().getNumber();
    }

    private void recordMember(Member m) {
        Member before = members.put(m.host(), m);
        reachableCount += (m.isReachable() ? 1 : 0) - (before != null && before.isReachable() ? 1 : 0);
        enqueueUpdate(m.host());
        neighbours = null;
        changes++;
        notifications.add(() -> listeners.forEach(l -> l.accept(m)));
    }

    // Must be called without the lock. A listener may wait for a lock whose owner waits for the members.
    private void notifyListeners() {
        for (Runnable next = takeNotification(); next != null; next = takeNotification()) {
            try {
                next.run();
            } finally {
                endNotification();
            }
        }
    }

    // Returns null if no notification is due, or if another thread delivers them.
    private synchronized Runnable takeNotification() {
        Runnable next = notifying ? null : notifications.poll();
        notifying |= next != null;
        return next;
    }

    private synchronized void endNotification() {
        notifying = false;
    }

    // Returns the number of times that an update is sent. It grows with the logarithm of the number of members.
    private int transmissionsPerUpdate() {
        int bitLength = 32 - Integer.numberOfLeadingZeros(members.size());
        return TRANSMISSION_FACTOR * (1 + bitLength);
    }

    private void enqueueUpdate(String host) {
        remainingTransmissions.put(host, transmissionsPerUpdate());
    }

    // Half of the rings contain only the hosts of this daemon's data centre, since traffic between data centres is
    // expensive. The other rings contain all hosts, so that the data centres stay connected.
    private List<Member> successors() {
        Map<String, Member> out = new LinkedHashMap<>();
        long[] ownPositions = positions(self);
        String ownDataCentre = members.get(self).dataCentre();
        for (int ring = 0; ring < LOCAL_RINGS; ring++) {
            int number = ring;
            successor(ownPositions, number, m -> m.dataCentre().equals(ownDataCentre))
                    .ifPresent(m -> out.put(m.host(), m));
        }
        for (int ring = 0; ring < GLOBAL_RINGS; ring++) {
            successor(ownPositions, LOCAL_RINGS + ring, m -> true).ifPresent(m -> out.put(m.host(), m));
        }
        return List.copyOf(out.values());
    }

    private Optional<Member> successor(long[] ownPositions, int ring, Predicate<Member> filter) {
        Member closest = null;
        for (Member m : members.values()) {
            boolean isCandidate = m.isReachable() && !m.host().equals(self) && filter.test(m);
            if (isCandidate && (closest == null || isCloser(m, closest, ownPositions, ring))) {
                closest = m;
            }
        }
        return Optional.ofNullable(closest);
    }

    private boolean isCloser(Member a, Member b, long[] ownPositions, int ring) {
        long distanceA = positions(a.host())[ring] - ownPositions[ring];
        long distanceB = positions(b.host())[ring] - ownPositions[ring];
        return Long.compareUnsigned(distanceA, distanceB) < 0;
    }

    private long[] positions(String host) {
        return ringPositions.computeIfAbsent(host, h -> {
            long[] out = new long[RINGS];
            for (int ring = 0; ring < RINGS; ring++) {
                out[ring] = Digests.hash64("ring" + ring + '/' + h);
            }
            return out;
        });
    }
}
