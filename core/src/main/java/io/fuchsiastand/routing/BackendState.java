package io.fuchsiastand.routing;

/** What the daemon of a host says of a backend server. */
public enum BackendState {
    /** Started lately; its share of the calls is still growing. */
    STARTING,
    /** Takes calls. */
    SERVING,
    /** Fails real calls; routers leave it out as far as the floor of the service allows. */
    EJECTED,
    /** Leaves; takes no new calls. */
    DRAINING
}
