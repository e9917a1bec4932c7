package io.fuchsiastand.daemon.board;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * A value on the blackboard that its writers, which {@link Blackboard} lists, replace and any thread reads.
 *
 * @param <T> the type of the value, which must be immutable
 */
public final class Section<T> {

    private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();
    private volatile T value;

    /**
     * Creates a section.
     *
     * @param initial the value before the first write
     */
    public Section(T initial) {
        value = initial;
    }

    /**
     * Returns the value.
     *
     * @return the latest value
     */
    public T get() {
        return value;
    }

    /**
     * Sets the value and calls the listeners. Only the writers that {@link Blackboard} lists may call this.
     *
     * @param next the new value
     */
    public void set(T next) {
        value = next;
        for (Consumer<T> l : new ArrayList<>(listeners)) {
            l.accept(next);
        }
    }

    /**
     * Registers a listener.
     *
     * @param listener called with the new value after each write, on the writer's thread
     */
    public void listen(Consumer<T> listener) {
        listeners.add(listener);
    }
}
