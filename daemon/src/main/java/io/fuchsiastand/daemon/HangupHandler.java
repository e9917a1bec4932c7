package io.fuchsiastand.daemon;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP. Without a handler, the signal ends the process, also while the process starts. This class loads no other
 * class of the program, so that it can be installed at once.
 */
public final class HangupHandler implements SignalHandler {

    private static final HangupHandler INSTANCE = new HangupHandler();

    private volatile Runnable action;

    private HangupHandler() {}

    /** Installs the handler. Until an action is set, it ignores the signal. */
    public static void install() {
        Signal.handle(new Signal("HUP"), INSTANCE);
    }

    /**
     * Sets what the handler does.
     *
     * @param action run at each signal, on a thread of its own
     */
    static void setAction(Runnable action) {
        INSTANCE.action = action;
    }

    @Override
    public void handle(Signal signal) {
        Runnable a = action;
        if (a != null) {
            a.run();
        }
    }
}
