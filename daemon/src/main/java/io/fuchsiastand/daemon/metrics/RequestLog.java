package io.fuchsiastand.daemon.metrics;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.fuchsiastand.time.Clock;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Writes log lines about requests that do not succeed at the first attempt: refusals, failures, further sends and
 * last-resort attempts, with the inputs of the decision. Successful calls to the backend servers of this host are only
 * counted. A summary line, which is written at a success but at most every ten seconds, reports their number. Under load,
 * lines above a maximum rate are dropped and counted. Pages for operators quote the events and the names of their fields,
 * so these do not change with the terms of the code.
 */
public final class RequestLog {

    private static final int MAX_LINES_PER_SECOND = 200;
    private static final long SUMMARY_PERIOD_NANOS = 10_000_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Clock clock;
    private final AtomicInteger linesInSecond = new AtomicInteger();
    private final AtomicLong currentSecond = new AtomicLong();
    private final AtomicLong droppedLines = new AtomicLong();
    private final AtomicLong successes = new AtomicLong();
    private final AtomicLong lastSummaryNanos;

    /**
     * Creates a log.
     *
     * @param clock the clock
     */
    public RequestLog(Clock clock) {
        this.clock = clock;
        lastSummaryNanos = new AtomicLong(clock.nanoTime());
    }

    /**
     * Counts a successful call to a backend server of this host, which gets no line of its own. Writes the summary line if the
     * last one was written ten or more seconds ago.
     */
    public void countSuccess() {
        successes.incrementAndGet();
        long now = clock.nanoTime();
        long last = lastSummaryNanos.get();
        if (now - last >= SUMMARY_PERIOD_NANOS && lastSummaryNanos.compareAndSet(last, now)) {
            Logger.info(
                    "{} requests went well, {} lines were left out", successes.getAndSet(0), droppedLines.getAndSet(0));
        }
    }

    /**
     * Writes a line about a request.
     *
     * @param event the decision or result in a few words, which becomes the message of the line
     * @param id the identifier of the request, or null if it has none
     * @param fields alternating names and values: the inputs of the decision and its result
     */
    public void write(String event, CharSequence id, Object... fields) {
        long second = clock.nanoTime() / NANOS_PER_SECOND;
        long last = currentSecond.get();
        if (second != last && currentSecond.compareAndSet(last, second)) {
            linesInSecond.set(0);
        }
        if (linesInSecond.incrementAndGet() > MAX_LINES_PER_SECOND) {
            droppedLines.incrementAndGet();
            return;
        }
        try {
            ThreadContext.put("request", String.valueOf(id));
            for (int i = 0; i + 1 < fields.length; i += 2) {
                ThreadContext.put(String.valueOf(fields[i]), fields[i + 1]);
            }
            Logger.info(event);
        } finally {
            ThreadContext.clear();
        }
    }
}
