package io.fuchsiastand.daemon.metrics;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;

import io.fuchsiastand.config.Json;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/** Writes each log entry as one line of JSON to the standard output, because hosts have no disks for log files. */
public final class JsonLinesWriter implements Writer {

    private final PrintStream out = System.out;

    /**
     * Creates a writer.
     *
     * @param properties the properties of the writer, which are ignored
     */
    public JsonLinesWriter(Map<String, String> properties) {
        // tinylog requires this constructor.
    }

    private record Line(
            String time,
            String level,
            String thread,
            String source,
            String message,
            Map<String, String> fields,
            String error) {}

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.THREAD,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.CONTEXT,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry e) {
        String source = e.getClassName();
        Line line = new Line(
                e.getTimestamp().toInstant().toString(),
                e.getLevel().name().toLowerCase(Locale.ROOT),
                e.getThread() == null ? null : e.getThread().getName(),
                source == null ? null : source.substring(source.lastIndexOf('.') + 1),
                e.getMessage(),
                e.getContext() == null || e.getContext().isEmpty() ? null : e.getContext(),
                e.getException() == null ? null : stackTrace(e.getException()));
        byte[] bytes = Json.write(line);
        synchronized (out) {
            out.write(bytes, 0, bytes.length);
            out.write('\n');
            out.flush();
        }
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        out.flush();
    }

    private static String stackTrace(Throwable t) {
        StringWriter w = new StringWriter();
        t.printStackTrace(new PrintWriter(w));
        return w.toString();
    }
}
