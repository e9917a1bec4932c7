package io.fuchsiastand.daemon.board;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.Problem;
import io.fuchsiastand.config.TomlFile;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.limit.LeaseTerms;

/**
 * The settings of a daemon, read from TOML; docs/CONFIGURATION.md lists them.
 *
 * @param host the name of this host, unique in the fleet
 * @param dataCentre the data centre of this host
 * @param address the IP address at which other daemons reach this host
 * @param ports the ports to listen on
 * @param platform the address of the platform
 * @param seeds addresses of daemons through which this daemon joins the fleet, in addition to those in the join records
 * @param tls the certificates for traffic between daemons, or empty if the settings have {@code insecure = true}
 * @param operatorDigest the digest of the operators' credential for the admin port, or empty to reject all operators
 * @param shards the number of shards to create if the fleet has none yet
 * @param leaseTerms the terms of leases on shards
 * @param keysStaleAfter the time for which requests with a team key are accepted after the last contact with either the
 *     platform or a peer
 * @param maxInFlight the number of requests in flight above which further requests with a key are refused; those without
 *     one are refused above one and a quarter times this number
 * @param accessLog whether each request is logged
 * @param service the service of this host, whose backend servers send calls through this daemon, or empty
 * @param rules the limits that hold for the whole fleet, and the time within which a process must end after the signal
 *     to stop
 * @param scheduling which decisions about where and when calls run are made by their expected work
 * @param memory the limits on what connections hold in memory
 */
public record Settings(
        String host,
        String dataCentre,
        String address,
        Ports ports,
        Endpoint platform,
        List<Endpoint> seeds,
        Optional<Tls> tls,
        Optional<String> operatorDigest,
        int shards,
        LeaseTerms leaseTerms,
        Duration keysStaleAfter,
        int maxInFlight,
        boolean accessLog,
        Optional<String> service,
        FleetRules rules,
        Scheduling scheduling,
        MemoryLimits memory) {

    private static final Duration DEFAULT_KEYS_STALE_AFTER = Duration.ofSeconds(5);
    /** The highest port number. */
    public static final int MAX_PORT = 65_535;

    private static final int MAX_SHARDS = 65_536;
    private static final int DEFAULT_SHARDS = 64;
    private static final int DEFAULT_MAX_IN_FLIGHT = 1_000;
    private static final int MAX_IN_FLIGHT_LIMIT = 100_000;

    /**
     * The ports of a daemon.
     *
     * @param callers the port for callers
     * @param data the port for calls that other daemons forward
     * @param peer the port for control traffic between daemons
     * @param admin the port for metrics and operators, and for announcements unless these have a port of their own
     * @param ready the port for readiness checks, or 0 if the admin port answers them
     * @param announcements the port for announcements of backend servers of this host, or 0 if the admin port takes them
     */
    public record Ports(int callers, int data, int peer, int admin, int ready, int announcements) {

        /**
         * Lists the configured ports.
         *
         * @return the port numbers, without zeros
         */
        private List<Integer> configured() {
            return Stream.of(callers, data, peer, admin, ready, announcements)
                    .filter(n -> n != 0)
                    .toList();
        }
    }

    /**
     * An address and a port to connect to.
     *
     * @param host the IP address or the host name
     * @param port the port
     */
    public record Endpoint(String host, int port) {

        // Explicit, because the generated methods of a record are linked at run time, which is costly at each start.
        @Override
        public boolean equals(Object other) {
            return other instanceof Endpoint e && port == e.port && host.equals(e.host);
        }

        @Override
        public int hashCode() {
            return 31 * host.hashCode() + port;
        }

        /**
         * Parses an address and a port.
         *
         * @param text the text, such as {@code 10.0.0.1:8082}
         * @return the address, or empty if the text is not valid
         */
        public static Optional<Endpoint> parse(String text) {
            int colon = text.lastIndexOf(':');
            if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
                return Optional.empty();
            }
            int port = Integer.parseInt(text.substring(colon + 1));
            return port > MAX_PORT ? Optional.empty() : Optional.of(new Endpoint(text.substring(0, colon), port));
        }
    }

    /**
     * The files for mutual TLS between daemons, in PEM format.
     *
     * @param certificate the certificate chain of this host
     * @param key the private key of this host, in PKCS #8 format
     * @param authority the CA certificates that the certificates of peers are verified against
     */
    public record Tls(Path certificate, Path key, Path authority) {}

    /**
     * Reads settings from a file.
     *
     * @param file the file
     * @return the settings
     * @throws FuchsiastandException with {@link ErrorCode#SETTINGS} that lists all problems
     */
    public static Settings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new FuchsiastandException(ErrorCode.SETTINGS, "cannot read the settings file " + file, e);
        }
        return parse(file.toString(), text);
    }

    /**
     * Parses settings.
     *
     * @param name the name of the file, for error messages
     * @param text the content of the file
     * @return the settings
     * @throws FuchsiastandException with {@link ErrorCode#SETTINGS} that lists all problems
     */
    public static Settings parse(String name, String text) {
        TomlFile f = new TomlFile(name, text);
        Settings s = f.problems().isEmpty() ? read(f) : null;
        if (!f.problems().isEmpty()) {
            List<Problem> all = f.problems();
            throw new FuchsiastandException(
                    ErrorCode.SETTINGS, all.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        }
        return s;
    }

    private static Settings read(TomlFile f) {
        JsonNode root = f.root();
        f.checkKeys(
                "",
                root,
                new TreeSet<>(Set.of(
                        "host",
                        "data_centre",
                        "address",
                        "insecure",
                        "seeds",
                        "ports",
                        "platform",
                        "tls",
                        "operator",
                        "limits",
                        "log",
                        "service",
                        "rules",
                        "scheduling")));
        JsonNode limits = f.table("", root, "limits");
        f.checkKeys(
                "limits",
                limits,
                new TreeSet<>(Set.of(
                        "shards",
                        "half",
                        "lending",
                        "silence",
                        "restart",
                        "platform",
                        "keys_stale",
                        "most_in_flight",
                        "most_header_fields",
                        "most_unfinished_mb",
                        "longest_unread_s",
                        "most_backend_request_mb",
                        "most_connections")));
        JsonNode log = f.table("", root, "log");
        f.checkKeys("log", log, Set.of("access"));
        return new Settings(
                f.text("", root, "host", null),
                f.text("", root, "data_centre", null),
                f.text("", root, "address", null),
                ports(f, f.table("", root, "ports")),
                platform(f, f.table("", root, "platform")),
                seeds(f, root.path("seeds")),
                tls(f, root),
                operator(f, f.table("", root, "operator")),
                integer(f, "limits", limits, "shards", DEFAULT_SHARDS, 1, MAX_SHARDS),
                leaseTerms(f, limits),
                f.duration("limits", limits, "keys_stale", DEFAULT_KEYS_STALE_AFTER),
                integer(f, "limits", limits, "most_in_flight", DEFAULT_MAX_IN_FLIGHT, 1, MAX_IN_FLIGHT_LIMIT),
                f.flag("log", log, "access", false),
                Optional.ofNullable(root.has("service") ? f.text("", root, "service", "") : null),
                FleetRules.read(f, f.table("", root, "rules")),
                Scheduling.read(f, f.table("", root, "scheduling")),
                MemoryLimits.read(f, limits));
    }

    private static Ports ports(TomlFile f, JsonNode t) {
        f.checkKeys("ports", t, new TreeSet<>(Set.of("callers", "data", "peer", "admin", "ready", "announcements")));
        Ports p = new Ports(
                port(f, t, "callers"),
                port(f, t, "data"),
                port(f, t, "peer"),
                port(f, t, "admin"),
                t.has("ready") ? port(f, t, "ready") : 0,
                t.has("announcements") ? port(f, t, "announcements") : 0);
        if (p.configured().stream().distinct().count() != p.configured().size()) {
            f.addProblem("ports", "two ports are the same");
        }
        return p;
    }

    // The value is a port number, or an address with a port. The address must be that of this host; it is not checked.
    private static int port(TomlFile f, JsonNode t, String key) {
        Optional<Endpoint> e =
                t.path(key).isTextual() ? Endpoint.parse(t.path(key).asText()) : Optional.empty();
        return e.isPresent() ? e.get().port() : (int) f.number("ports", t, key, OptionalDouble.empty(), 0, MAX_PORT);
    }

    private static Endpoint platform(TomlFile f, JsonNode t) {
        f.checkKeys("platform", t, new TreeSet<>(Set.of("host", "port", "address")));
        if (t.has("address")) {
            Optional<Endpoint> e = Endpoint.parse(t.path("address").asText());
            if (e.isEmpty()) {
                f.addProblem("platform.address", "'address' must be an address and a port such as \"10.0.0.1:8082\"");
            }
            return e.orElse(new Endpoint("", 0));
        }
        String host = f.text("platform", t, "host", null);
        int port = (int) f.number("platform", t, "port", OptionalDouble.empty(), 1, MAX_PORT);
        return new Endpoint(host == null ? "" : host, port);
    }

    private static List<Endpoint> seeds(TomlFile f, JsonNode list) {
        List<Endpoint> out = new ArrayList<>();
        for (JsonNode n : list) {
            Optional<Endpoint> e = Endpoint.parse(n.asText());
            if (e.isEmpty()) {
                f.addProblem(
                        "seeds", "seed '" + n.asText() + "' must be an address and a port such as \"10.0.0.1:8082\"");
            }
            e.ifPresent(out::add);
        }
        return out;
    }

    private static Optional<Tls> tls(TomlFile f, JsonNode root) {
        boolean insecure = f.flag("", root, "insecure", false);
        boolean present = root.has("tls");
        if (insecure == present) {
            f.addProblem(
                    present ? "tls" : "",
                    "either give [tls] certificate, key and authority, or set insecure = true for unencrypted traffic"
                            + " between daemons");
            return Optional.empty();
        }
        if (insecure) {
            return Optional.empty();
        }
        JsonNode t = f.table("", root, "tls");
        f.checkKeys("tls", t, new TreeSet<>(Set.of("certificate", "key", "authority")));
        return Optional.of(new Tls(file(f, t, "certificate"), file(f, t, "key"), file(f, t, "authority")));
    }

    private static Path file(TomlFile f, JsonNode t, String key) {
        String name = f.text("tls", t, key, null);
        Path p = Path.of(name == null ? "" : name);
        if (name != null && !Files.isReadable(p)) {
            f.addProblem("tls." + key, "cannot read the file " + p);
        }
        return p;
    }

    private static Optional<String> operator(TomlFile f, JsonNode t) {
        f.checkKeys("operator", t, Set.of("digest"));
        return Optional.ofNullable(t.has("digest") ? f.text("operator", t, "digest", "") : null);
    }

    private static LeaseTerms leaseTerms(TomlFile f, JsonNode t) {
        LeaseTerms d = LeaseTerms.DEFAULT;
        LeaseTerms out = new LeaseTerms(
                f.duration("limits", t, "half", d.halfTerm()),
                f.duration("limits", t, "lending", d.lendingTerm()),
                f.duration("limits", t, "silence", d.silenceTerm()),
                f.duration("limits", t, "restart", d.restartTerm()),
                f.duration("limits", t, "platform", d.platformTerm()));
        boolean ordered = out.lendingTerm().compareTo(out.silenceTerm()) < 0
                && out.silenceTerm().compareTo(out.halfTerm()) < 0
                && out.restartTerm().compareTo(out.halfTerm()) < 0
                && out.halfTerm().compareTo(out.platformTerm()) < 0;
        if (!ordered) {
            f.addProblem("limits", "the terms must satisfy lending < silence < half < platform and restart < half");
        }
        return out;
    }

    static int integer(TomlFile f, String path, JsonNode t, String key, int fallback, int min, int max) {
        return (int) f.number(path, t, key, OptionalDouble.of(fallback), min, max);
    }
}
