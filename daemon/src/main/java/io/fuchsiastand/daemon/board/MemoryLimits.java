package io.fuchsiastand.daemon.board;

import java.lang.management.ManagementFactory;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.management.UnixOperatingSystemMXBean;
import io.fuchsiastand.config.TomlFile;
import io.fuchsiastand.http.MessageLimits;

/**
 * Limits on what connections hold in the memory of a daemon, from the table {@code limits} of the settings.
 *
 * @param headerFields the maximum number of lines in a header or trailer section
 * @param unfinishedBytes what all messages that are not complete, and all bodies that are kept, may take together, in bytes
 * @param backendRequestBytes what the bodies of the requests that a backend server runs may take together, in bytes
 * @param maxUnread the time after which a response of which the caller takes nothing is ended
 * @param connections the maximum number of open connections of callers
 */
public record MemoryLimits(
        int headerFields, long unfinishedBytes, long backendRequestBytes, Duration maxUnread, int connections) {

    private static final int HEAP_DIVISOR = 8;
    private static final int MAX_HEADER_FIELDS = 1_000_000;
    // Fewer are taken for a limit that the operating system does not state.
    private static final int MIN_DESCRIPTORS = 256;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_MEGABYTES = 65_536;
    private static final int DEFAULT_BACKEND_REQUEST_MEGABYTES = 64;
    private static final int DEFAULT_UNREAD_SECONDS = 300;
    private static final int MAX_UNREAD_SECONDS = 86_400;
    private static final String TABLE = "limits";

    /** The limits that apply when the settings have none. */
    public static final MemoryLimits DEFAULT = new MemoryLimits(
            MessageLimits.DEFAULT_SECTION_LINES,
            Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
            (long) DEFAULT_BACKEND_REQUEST_MEGABYTES << 20,
            Duration.ofSeconds(DEFAULT_UNREAD_SECONDS),
            defaultConnections());

    static MemoryLimits read(TomlFile f, JsonNode t) {
        long megabytes = Settings.integer(f, TABLE, t, "most_unfinished_mb", 0, 0, MAX_MEGABYTES);
        return new MemoryLimits(
                Settings.integer(f, TABLE, t, "most_header_fields", DEFAULT.headerFields(), 1, MAX_HEADER_FIELDS),
                megabytes == 0 ? DEFAULT.unfinishedBytes() : megabytes << 20,
                (long) Settings.integer(
                                f,
                                TABLE,
                                t,
                                "most_backend_request_mb",
                                DEFAULT_BACKEND_REQUEST_MEGABYTES,
                                1,
                                MAX_MEGABYTES)
                        << 20,
                Duration.ofSeconds(Settings.integer(
                        f, TABLE, t, "longest_unread_s", DEFAULT_UNREAD_SECONDS, 1, MAX_UNREAD_SECONDS)),
                Settings.integer(f, TABLE, t, "most_connections", DEFAULT.connections(), 1, MAX_CONNECTIONS));
    }

    // The other descriptors are for files, and for connections to backend servers and other daemons.
    private static int defaultConnections() {
        long descriptors = ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean b
                ? b.getMaxFileDescriptorCount()
                : 0;
        boolean isKnown = descriptors >= MIN_DESCRIPTORS;
        return isKnown ? (int) Math.min(MAX_CONNECTIONS, descriptors / 8 * 5) : MAX_CONNECTIONS;
    }
}
