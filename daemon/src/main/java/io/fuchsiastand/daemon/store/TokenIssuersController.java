package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.limit.IssueLease;
import io.fuchsiastand.limit.LostIssuers;
import io.fuchsiastand.limit.TokenIssuers;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.StoredObject;
import io.fuchsiastand.time.Moment;
import org.tinylog.Logger;

/**
 * Maintains the list of token issuers, and the lease under which this host issues tokens. The list is an object in the object
 * store, which one daemon creates when a fleet with an external configuration source first starts. Daemons receive the list
 * from the store or from peers.
 *
 * <p>One daemon also revokes the right of hosts that are lost, and removes them from the list when their leases have ended, so
 * that the other hosts issue their share. It does so only while it reaches at least half of the hosts, and a host holds its
 * lease without the store only while it reaches more than half. So the shares never sum to more than one, whichever hosts are
 * cut off, and a store that is unavailable stops no host of the larger part of the fleet.
 */
public final class TokenIssuersController {

    /** Name of the list of token issuers, as an object in the store and as a record. */
    public static final String LIST_NAME = "rights/roster";

    // It is assumed that the hosts of a new fleet start within one second, so the list contains all of them if it is
    // created after this delay. A host that joins later takes part in the fleet but issues no tokens.
    private static final Duration CREATION_DELAY = Duration.ofMillis(4_900);

    // Time for which a dead host that is not in the list still counts as one that might reach other hosts.
    private static final Duration MAX_DEAD_TIME = Duration.ofMinutes(1);

    // Hosts that leave at the same time write the list one after another, and each write may conflict with another.
    private static final int MAX_WRITE_TRIES = 5;

    private final Blackboard board;
    private final ObjectStore store;
    private final Consumer<ToDoubleFunction<String>> shareListener;
    private final IssueLease lease;
    private final BooleanSupplier alone;
    private final long startNanos;
    private final LostIssuers lostIssuers;
    private volatile TokenIssuers latest;
    // Whether peers have not answered for a term at some time since the lost hosts were last replaced.
    private volatile boolean contactLost;
    // Only renewLease() uses it.
    private Majority majority;
    private boolean storeRead;
    // The era of the store in which the list was last read or written.
    private long listEra;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param store the object store
     * @param shareListener receives the share of the tokens of each team that this host issues
     * @param lease the lease under which this host issues tokens, which only this controller renews
     * @param alone returns whether this daemon knows of no other host
     */
    public TokenIssuersController(
            Blackboard board,
            ObjectStore store,
            Consumer<ToDoubleFunction<String>> shareListener,
            IssueLease lease,
            BooleanSupplier alone) {
        this.board = board;
        this.store = store;
        this.shareListener = shareListener;
        this.lease = lease;
        this.alone = alone;
        lostIssuers = new LostIssuers(board.clock());
        startNanos = board.clock().nanoTime();
    }

    /** Starts to listen for the list of token issuers. */
    public void start() {
        board.records().listen(this::onRecord);
    }

    /** Renews the lease of this host if its contact with peers allows that, or if it knows of no other host. */
    public void renewLease() {
        TokenIssuers known = latest;
        if (known == null) {
            return;
        }
        if (alone.getAsBoolean()) {
            lease.renewAlone();
            return;
        }
        long changes = board.members().changeCount();
        if (majority == null || majority.memberChanges != changes || majority.list != known) {
            majority = new Majority(changes, known, reachesMost(known));
        }
        Moment answered = board.lastAnsweredProbe().get().orElse(null);
        contactLost |= answered == null || answered.age(board.clock()).compareTo(IssueLease.TERM) >= 0;
        lease.observePeers(answered, board.lastExchange().get().orElse(null), majority.reached);
    }

    /** Whether this daemon reaches most hosts, and what that is derived from. */
    private record Majority(long memberChanges, TokenIssuers list, boolean reached) {}

    // Dead members count as well: while this daemon is cut off, it may hold the rest of the fleet for dead.
    private boolean reachesMost(TokenIssuers known) {
        Set<String> hosts = new HashSet<>(known.hosts());
        board.members().all().stream()
                .filter(m -> m.state() != MemberState.LEFT)
                .map(Member::host)
                .forEach(hosts::add);
        return 2 * board.members().reachableCount() > hosts.size();
    }

    /**
     * Reads the list, or creates it if the store has none or an empty one and this daemon is selected to do so. When the store has
     * come back with older objects, the selected daemon writes the list again. It also revokes and removes lost hosts. Calls the
     * store only if there is something to do. May block.
     *
     * @param newHost whether this host has just been added. It is in no list then, or the list is yet to be created
     */
    public void tick(boolean newHost) {
        Optional<TokenIssuers> known = knownList();
        if (known.isPresent() && !known.get().hosts().isEmpty()) {
            if (store.era() != listEra && isCreator()) {
                restore(known.get());
                // The store may have lost revocations, so the hosts may have renewed their leases.
                lostIssuers.restartWaits();
                return;
            }
            if (known.get().mayIssue(board.settings().host()) && lease.needsConfirmation()) {
                readList();
            }
            replaceLostHosts(knownList().orElseThrow());
            return;
        }
        listEra = store.era();
        if (!storeRead && !newHost) {
            readList();
            storeRead = true;
        } else if (board.clock().nanoTime() - startNanos >= CREATION_DELAY.toNanos() && isCreator()) {
            create(known);
        }
    }

    // Renews the lease if the store has no later list than this daemon.
    private void readList() {
        Moment before = Moment.now(board.clock());
        StoredObject o;
        try {
            o = store.get(LIST_NAME).orElse(null);
        } catch (FuchsiastandException e) {
            lease.recordStoreFailure();
            throw e;
        }
        if (o == null) {
            return;
        }
        putRecord(o);
        Optional<TokenIssuers> known = knownList();
        if (known.isPresent() && known.get().version() == read(o.value()).version()) {
            lease.confirm(before);
        }
    }

    // Revokes the right of hosts of the list that are lost, and removes them once their leases have ended.
    private void replaceLostHosts(TokenIssuers known) {
        Set<String> reachable = new HashSet<>();
        board.members().reachable().forEach(m -> reachable.add(m.host()));
        boolean half = isHalfOfFleet(reachable, known);
        boolean inContact = half && (!contactLost || reachable.size() == 1);
        contactLost = false;
        LostIssuers.Findings findings = lostIssuers.observe(known, reachable, this::hasLeft, inContact);
        // A revoked host may be cut off from the others, and would revoke them in turn.
        if (findings.isEmpty() || !half || !isSelected(h -> !known.revoked().contains(h))) {
            return;
        }
        StoredObject o = store.get(LIST_NAME).orElse(null);
        if (o == null) {
            return;
        }
        if (read(o.value()).version() > known.version()) {
            putRecord(o);
            return;
        }
        TokenIssuers next = known.withRevoked(findings.lost()).without(findings.ended());
        if (tryWrite(next.hosts().isEmpty() ? nextList(next) : next, o.version())) {
            Logger.warn(
                    "lost token issuers: {} are revoked, {} are removed from the list",
                    findings.lost(),
                    findings.ended());
        }
    }

    private boolean hasLeft(String host) {
        return board.members()
                .find(host)
                .filter(m -> m.state() == MemberState.LEFT)
                .isPresent();
    }

    // Whether so many hosts are reachable that the others, if they are only cut off, cannot be most of the fleet.
    private boolean isHalfOfFleet(Set<String> reachable, TokenIssuers known) {
        long now = board.clock().nanoTime();
        Set<String> hosts = new HashSet<>(reachable);
        hosts.addAll(known.hosts());
        board.members().all().stream()
                .filter(m -> m.state() == MemberState.DEAD && now - m.stateSinceNanos() < MAX_DEAD_TIME.toNanos())
                .forEach(m -> hosts.add(m.host()));
        return 2 * reachable.size() >= hosts.size();
    }

    /**
     * Removes this host from the list for good, so that the remaining hosts issue its share as well, or the other hosts of the
     * fleet if it is the last one of the list. This host stops issuing tokens before other hosts can receive the new list, so the
     * shares never sum to more than one. If each of
     * {@code MAX_WRITE_TRIES} writes conflicts with that of another host, this method gives up without an error, and the
     * share of this host is then not issued. May block.
     */
    public void leave() {
        shareListener.accept(team -> 0);
        String self = board.settings().host();
        for (int i = 0; i < MAX_WRITE_TRIES; i++) {
            StoredObject o = store.get(LIST_NAME).orElse(null);
            if (o == null || !read(o.value()).hosts().contains(self)) {
                return;
            }
            TokenIssuers stored = read(o.value());
            TokenIssuers remaining =
                    knownList().map(stored::merge).orElse(stored).without(self);
            if (tryWrite(remaining.hosts().isEmpty() ? nextList(remaining) : remaining, o.version())) {
                return;
            }
        }
    }

    // Writes the list again if the store has come back without it, or with one that still contains hosts that have
    // left.
    private void restore(TokenIssuers known) {
        long era = store.era();
        StoredObject o = store.get(LIST_NAME).orElse(null);
        TokenIssuers merged = o == null ? known : known.merge(read(o.value()));
        boolean complete = o != null && read(o.value()).version() == merged.version();
        if (complete || tryWrite(merged, o == null ? StoredObject.ABSENT : o.version())) {
            listEra = era;
        }
    }

    // Returns false if another host has written the list first.
    private boolean tryWrite(TokenIssuers list, long expected) {
        byte[] value = Json.write(list);
        Moment before = Moment.now(board.clock());
        try {
            store.put(LIST_NAME, value, expected, UUID.randomUUID().toString());
            board.putRecord(LIST_NAME, list.version(), value);
            lease.confirm(before);
            return true;
        } catch (FuchsiastandException e) {
            if (e.code() != ErrorCode.CONFLICT) {
                throw e;
            }
            return false;
        }
    }

    private Optional<TokenIssuers> knownList() {
        return board.records().get(LIST_NAME).map(r -> read(r.getValue().toByteArray()));
    }

    private static TokenIssuers read(byte[] value) {
        return Json.read(value, TokenIssuers.class);
    }

    private void create(Optional<TokenIssuers> known) {
        StoredObject o = store.get(LIST_NAME).orElse(null);
        Optional<TokenIssuers> last = o == null
                ? known
                : Optional.of(known.map(k -> k.merge(read(o.value()))).orElse(read(o.value())));
        if (last.isPresent() && !last.get().hosts().isEmpty()) {
            putRecord(o);
            return;
        }
        TokenIssuers list = last.map(this::nextList).orElse(TokenIssuers.initial(reachableHosts()));
        if (!tryWrite(list, o == null ? StoredObject.ABSENT : o.version())) {
            store.get(LIST_NAME).ifPresent(this::putRecord);
        }
    }

    // The list stays empty if no host remains that could issue tokens.
    private TokenIssuers nextList(TokenIssuers empty) {
        List<String> hosts = reachableHosts();
        return hosts.isEmpty() ? empty : empty.next(hosts);
    }

    // Without this host if it is about to leave.
    private List<String> reachableHosts() {
        boolean leaving = board.lifecycle().get() == Lifecycle.LEAVING;
        String self = board.settings().host();
        return board.members().reachable().stream()
                .map(Member::host)
                .filter(h -> !leaving || !h.equals(self))
                .sorted()
                .toList();
    }

    private void putRecord(StoredObject o) {
        board.putRecord(LIST_NAME, read(o.value()).version(), o.value());
    }

    private boolean isCreator() {
        return isSelected(h -> true);
    }

    // Whether this daemon is the one among some of the reachable hosts that writes the list.
    private boolean isSelected(Predicate<String> hosts) {
        return Membership.rendezvousOrder("roster", board.members().reachable()).stream()
                .map(Member::host)
                .filter(hosts)
                .findFirst()
                .filter(board.settings().host()::equals)
                .isPresent();
    }

    private void onRecord(Record r) {
        if (r.getName().equals(LIST_NAME)) {
            TokenIssuers issuers = read(r.getValue().toByteArray());
            latest = issuers;
            String self = board.settings().host();
            boolean leaving = board.lifecycle().get() == Lifecycle.LEAVING;
            shareListener.accept(leaving ? team -> 0 : issuers.sharesOf(self));
            Logger.info(
                    "version {} of the list of token issuers has {} hosts, {} of them revoked; this host {} tokens",
                    r.getVersion(),
                    issuers.hosts().size(),
                    issuers.revoked().size(),
                    issuers.mayIssue(self) ? "may issue" : "does not issue");
        }
    }
}
