package io.fuchsiastand.daemon.membership;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.routing.Departures;
import io.fuchsiastand.routing.HostRecord;
import org.tinylog.Logger;

/**
 * Updates the directory of backend servers from the records and the members. Also removes the host records of removed
 * members, and closes the connections to members that died or left.
 */
public final class DirectoryController {

    private final Blackboard board;
    private final Peers peers;

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     */
    public DirectoryController(Blackboard board, Peers peers) {
        this.board = board;
        this.peers = peers;
    }

    /**
     * Registers listeners for records and members, and a filter that rejects records about hosts that are not members.
     */
    public void start() {
        board.records().listen(this::onRecord);
        board.members().listen(this::onMember);
        board.members().listenRemoved(this::onMemberRemoved);
        board.records()
                .setNameFilter(n -> isMemberOrOther(n, HostRecord.PREFIX) && isMemberOrOther(n, Departures.PREFIX));
    }

    // Returns false for a record of this prefix about a host that is no member.
    private boolean isMemberOrOther(String name, String prefix) {
        return !name.startsWith(prefix)
                || board.members().find(name.substring(prefix.length())).isPresent();
    }

    // A removed host must not count as missing capacity, and this daemon must no longer send the record of that host to
    // peers. None of the calls does anything if the host has joined again before this listener is called.
    private synchronized void onMemberRemoved(String host) {
        board.directory().removeHost(host);
        board.records().removeIfRejected(HostRecord.PREFIX + host);
        board.records().removeIfRejected(Departures.PREFIX + host);
    }

    private void onRecord(Record r) {
        try {
            if (r.getName().startsWith(HostRecord.PREFIX)) {
                applyNewest(r.getName());
            } else if (r.getName().startsWith(Departures.PREFIX)) {
                board.directory().recordDepartures(Json.read(r.getValue().toByteArray(), Departures.class));
            }
        } catch (FuchsiastandException e) {
            Logger.error(e, "the record {} cannot be read", r.getName());
        }
    }

    // Applies the stored record and not the delivered one: listeners can receive two versions in the wrong order.
    private synchronized void applyNewest(String name) {
        board.records().get(name).ifPresent(r -> board.directory()
                .update(Json.read(r.getValue().toByteArray(), HostRecord.class)));
    }

    private void onMember(Member m) {
        board.directory().updateWeightsOfHost(m.host());
        if (m.state() == MemberState.DEAD || m.state() == MemberState.LEFT) {
            Logger.info("member {} is {}", m.host(), m.state());
            peers.closeConnections(m);
        }
    }
}
