package io.fuchsiastand.membership;

import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.MemberUpdate;

/**
 * A daemon of the fleet, with the state that a daemon (another one, or the member itself) has recorded for it.
 *
 * @param host the name of the member's host
 * @param address the IP address of the host
 * @param dataPort the port for forwarded calls
 * @param peerPort the port for control traffic
 * @param dataCentre the data centre of the host
 * @param incarnation the number that the member increases to replace a wrong update about itself; of two updates, the one
 *     with the higher number wins
 * @param state the recorded state of the member
 * @param stateSinceNanos monotonic time at which the daemon recorded this state and incarnation, in nanoseconds
 */
public record Member(
        String host,
        String address,
        int dataPort,
        int peerPort,
        String dataCentre,
        long incarnation,
        MemberState state,
        long stateSinceNanos) {

    /**
     * Returns whether calls may be sent to the member.
     *
     * @return true if the member is alive or suspected
     */
    public boolean isReachable() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /**
     * Returns a copy of the member with another state.
     *
     * @param newState the new state
     * @param newIncarnation the incarnation that the state belongs to
     * @param now monotonic time at which the daemon records the state, in nanoseconds
     * @return the changed copy
     */
    public Member withState(MemberState newState, long newIncarnation, long now) {
        return new Member(host, address, dataPort, peerPort, dataCentre, newIncarnation, newState, now);
    }

    /**
     * Converts this member to a protocol message.
     *
     * @return the message
     */
    public MemberUpdate toUpdate() {
        return MemberUpdate.newBuilder()
                .setHost(host)
                .setAddress(address)
                .setDataPort(dataPort)
                .setPeerPort(peerPort)
                .setDataCentre(dataCentre)
                .setIncarnation(incarnation)
                .setState(state)
                .build();
    }

    /**
     * Creates a member from a protocol message.
     *
     * @param u the message
     * @param now monotonic time at which the daemon records the state, in nanoseconds
     * @return the member
     */
    public static Member of(MemberUpdate u, long now) {
        return new Member(
                u.getHost(),
                u.getAddress(),
                u.getDataPort(),
                u.getPeerPort(),
                u.getDataCentre(),
                u.getIncarnation(),
                u.getState(),
                now);
    }
}
