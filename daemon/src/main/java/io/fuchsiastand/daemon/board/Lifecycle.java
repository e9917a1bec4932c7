package io.fuchsiastand.daemon.board;

/** The state of a daemon, from its start to its end. */
public enum Lifecycle {
    /**
     * The daemon is not ready yet. It becomes ready when it has a configuration and one of these holds: it has an
     * external configuration source, it has read the objects of the platform, or an anti-entropy exchange has found its
     * records equal to those of a neighbour.
     */
    STARTING,
    /** The daemon accepts calls. */
    READY,
    /**
     * The daemon still accepts calls. But its readiness check fails, and it publishes its backend servers as draining, so
     * that callers and peers use other daemons.
     */
    DRAINING,
    /** The daemon accepts no new calls and finishes those in flight. */
    LEAVING
}
