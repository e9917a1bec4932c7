package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.limit.TokenIssuers;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.StoredObject;
import org.tinylog.Logger;

/**
 * Maintains the list of token issuers. The list is an object in the object store, which one daemon creates when a fleet
 * with an external configuration source first starts. Daemons receive the list from the store or from peers.
 */
public final class TokenIssuersController {

    /** Name of the list of token issuers, as an object in the store and as a record. */
    public static final String LIST_NAME = "rights/roster";

    // It is assumed that the hosts of a new fleet start within one second, so the list contains all of them if it is
    // created after this delay. A host that joins later takes part in the fleet but issues no tokens.
    private static final Duration CREATION_DELAY = Duration.ofSeconds(4);

    // Hosts that leave at the same time write the list one after another, and each write may conflict with another.
    private static final int MAX_WRITE_TRIES = 5;

    private final Blackboard board;
    private final ObjectStore store;
    private final Consumer<ToDoubleFunction<String>> shareListener;
    private final long startNanos;
    private boolean storeRead;
    // The era of the store in which the list was last read or written.
    private long listEra;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param store the object store
     * @param shareListener receives the share of the tokens of each team that this host issues
     */
    public TokenIssuersController(
            Blackboard board, ObjectStore store, Consumer<ToDoubleFunction<String>> shareListener) {
        this.board = board;
        this.store = store;
        this.shareListener = shareListener;
        startNanos = board.clock().nanoTime();
    }

    /** Starts to listen for the list of token issuers. */
    public void start() {
        board.records().listen(this::onRecord);
    }

    /**
     * Reads the list, or creates it if the store has none or an empty one and this daemon is selected to do so. When the store has
     * come back with older objects, the selected daemon writes the list again. May block.
     */
    public void tick() {
        Optional<TokenIssuers> known = knownList();
        if (known.isPresent() && !known.get().hosts().isEmpty()) {
            if (store.era() != listEra && isCreator()) {
                restore(known.get());
            }
            return;
        }
        listEra = store.era();
        if (!storeRead) {
            store.get(LIST_NAME).ifPresent(this::putRecord);
            storeRead = true;
        } else if (board.clock().nanoTime() - startNanos >= CREATION_DELAY.toNanos() && isCreator()) {
            create(known);
        }
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
        try {
            store.put(LIST_NAME, value, expected, UUID.randomUUID().toString());
            board.putRecord(LIST_NAME, list.version(), value);
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
        return Membership.rendezvousOrder("roster", board.members().reachable())
                .get(0)
                .host()
                .equals(board.settings().host());
    }

    private void onRecord(Record r) {
        if (r.getName().equals(LIST_NAME)) {
            TokenIssuers issuers = read(r.getValue().toByteArray());
            String self = board.settings().host();
            boolean leaving = board.lifecycle().get() == Lifecycle.LEAVING;
            shareListener.accept(leaving ? team -> 0 : issuers.sharesOf(self));
            boolean listed = issuers.hosts().contains(self);
            Logger.info(
                    "version {} of the list of token issuers has {} hosts; this host is {}",
                    r.getVersion(),
                    issuers.hosts().size(),
                    listed ? "in the list" : "not in the list");
        }
    }
}
