package io.fuchsiastand.routing;

/** State of a backend server, as determined by the daemon of its host. */
public enum BackendState {
    /** Started or returned from an ejection recently; gets a reduced share of the calls. */
    STARTING,
    /** Takes its full share of the calls. */
    SERVING,
    /** Failed calls or was slow; ingress daemons take it out of rotation as far as the floor of the service allows. */
    EJECTED,
    /** Is about to leave the service; takes no new calls. */
    DRAINING
}
