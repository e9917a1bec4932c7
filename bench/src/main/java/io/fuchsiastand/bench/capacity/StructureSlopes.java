package io.fuchsiastand.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationCodec;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.idempotency.IdempotencyLog;
import io.fuchsiastand.key.KeyTable;
import io.fuchsiastand.limit.Demand;
import io.fuchsiastand.limit.LeaseTerms;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.limit.ShardLeases;
import io.fuchsiastand.limit.ShardLedger;
import io.fuchsiastand.limit.TeamService;
import io.fuchsiastand.limit.UsableHalves;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.replication.RecordStore;
import io.fuchsiastand.routing.RequestPath;
import io.fuchsiastand.routing.RouteTable;
import io.fuchsiastand.routing.ServiceDirectory;

/**
 * Measures data structures and operations of a daemon at several sizes, and computes the cost of one unit by a linear
 * fit.
 */
final class StructureSlopes {

    private static final int[] ROUTE_COUNTS = {1_000, 4_000, 13_000};
    private static final int[] TEAM_COUNTS = {1_000, 6_000, 19_000};
    private static final int[] KEY_COUNTS = {2_000, 12_000, 38_000};
    private static final int[] MEMBER_COUNTS = {10, 100, 940};
    private static final int[] SHARD_COUNTS = {8, 64, 512};
    private static final int BACKENDS_PER_HOST = 10;
    private static final int OPERATIONS = 200_000;
    // Records at full size besides those of hosts and shards: mainly the 64 buckets of team keys.
    private static final int OTHER_RECORDS = 66;
    // Each shard has a holder and a standby.
    private static final int DAEMONS_PER_SHARD = 2;
    // Assumed number of ledger entries (a team and a service at one daemon) in the whole fleet for each team.
    private static final int BUCKETS_PER_TEAM = 4;
    // Assumed number of idempotency keys that a daemon stores at full size.
    private static final int IDEMPOTENCY_KEYS = 4_000;
    private static final UsableHalves BOTH_HALVES = new UsableHalves(true, true, 0, 0);

    private final List<MeasuredSlope> rows = new ArrayList<>();

    List<MeasuredSlope> measure() {
        configuration();
        keys();
        members();
        directory();
        records();
        limits();
        return rows;
    }

    private void configuration() {
        heap("routes and route table", "route", ROUTE_COUNTS, Target.ROUTES, n -> {
            Configuration c = Samples.configuration(n, 0, Target.SERVICES);
            return List.of(c, new RouteTable(c));
        });
        time("route lookup", "route", ROUTE_COUNTS, Target.ROUTES, n -> {
            RouteTable t = new RouteTable(Samples.configuration(n, 0, Target.SERVICES));
            RequestPath[] paths = new RequestPath[1024];
            for (int i = 0; i < paths.length; i++) {
                paths[i] = RequestPath.parse("/service-" + i % Target.SERVICES + "/part-" + i % 4 + "/item");
            }
            return Meter.nanos(OPERATIONS, i -> t.find("any", paths[i & 1023]));
        });
        heap("teams", "team", TEAM_COUNTS, Target.TEAMS, n -> Samples.configuration(250, n, Target.SERVICES));
        time("activating a configuration", "team", TEAM_COUNTS, Target.TEAMS, n -> {
            Configuration c = Samples.configuration(n * Target.ROUTES / Target.TEAMS, n, Target.SERVICES);
            Map<String, byte[]> chunks = ConfigurationCodec.split(c);
            return Meter.nanos(3, i -> new RouteTable(ConfigurationCodec.join(1, chunks.values())));
        });
        size("stored configuration", "team", TEAM_COUNTS, Target.TEAMS, n -> {
            Configuration c = Samples.configuration(n * Target.ROUTES / Target.TEAMS, n, Target.SERVICES);
            return ConfigurationCodec.split(c).values().stream()
                    .mapToLong(b -> b.length)
                    .sum();
        });
    }

    private void keys() {
        heap("key table", "key", KEY_COUNTS, Target.KEYS, Samples::keyTable);
        time("key lookup", "key", KEY_COUNTS, Target.KEYS, n -> {
            KeyTable t = Samples.keyTable(n);
            String[] digests = new String[1024];
            Arrays.setAll(digests, Samples::digest);
            return Meter.nanos(OPERATIONS, i -> t.teamOf(digests[i & 1023]));
        });
        size("stored keys", "key", KEY_COUNTS, Target.KEYS, n -> Samples.keys(n).values().stream()
                .mapToLong(b -> Json.write(b).length)
                .sum());
    }

    private void members() {
        heap("membership", "member", MEMBER_COUNTS, Target.DAEMONS, n -> Samples.membership(0, n));
        time("applying a member list", "member", MEMBER_COUNTS, Target.DAEMONS, n -> {
            // Meter runs 7 rounds of 3 operations, and each operation needs a membership without the list.
            Membership[] fresh = new Membership[7 * 3];
            Arrays.setAll(fresh, i -> Samples.membership(0, 1));
            List<MemberUpdate> updates = Samples.updates(n);
            int[] next = {0};
            return Meter.nanos(3, i -> {
                Membership m = fresh[next[0]++];
                m.apply(updates);
                m.neighbours();
            });
        });
    }

    private void directory() {
        int[] servers =
                Arrays.stream(MEMBER_COUNTS).map(m -> m * BACKENDS_PER_HOST).toArray();
        heap(
                "directory",
                "backend server",
                servers,
                Target.BACKEND_SERVERS,
                n -> Samples.directory(n / BACKENDS_PER_HOST, BACKENDS_PER_HOST));
        time("choice of a backend server", "backend server", servers, Target.BACKEND_SERVERS, n -> {
            ServiceDirectory d = Samples.directory(n / BACKENDS_PER_HOST, BACKENDS_PER_HOST);
            SplittableRandom r = new SplittableRandom(1);
            return Meter.nanos(OPERATIONS, i -> d.pick("service-" + i % 100, Set.of(), r));
        });
        time("change of a host record", "backend server", servers, Target.BACKEND_SERVERS, n -> {
            ServiceDirectory d = Samples.directory(n / BACKENDS_PER_HOST, BACKENDS_PER_HOST);
            return Meter.nanos(
                    2_000, i -> d.update(Samples.hostRecord(i % (n / BACKENDS_PER_HOST), BACKENDS_PER_HOST)));
        });
    }

    private void records() {
        int fullSize = Target.DAEMONS + Target.SHARDS + OTHER_RECORDS;
        int[] sizes = {100, 1_000, fullSize};
        heap("records", "record", sizes, fullSize, StructureSlopes::recordStore);
        size("anti-entropy exchange of equal records, bytes on the wire", "record", sizes, fullSize, n -> {
            RecordStore a = recordStore(n);
            return a.startSync("host-0").getSerializedSize()
                    + a.answerSync(a.startSync("host-0")).getSerializedSize();
        });
        size("anti-entropy exchange with one difference, bytes on the wire", "record", sizes, fullSize, n -> {
            RecordStore a = recordStore(n);
            RecordStore b = recordStore(n);
            b.put(RecordStore.record("host/host-1", 99, new byte[400]));
            var firstRequest = a.startSync("host-0");
            var reply = b.answerSync(firstRequest);
            var secondRequest = a.continueSync("host-0", reply).orElseThrow();
            return firstRequest.getSerializedSize()
                    + reply.getSerializedSize()
                    + secondRequest.getSerializedSize()
                    + b.answerSync(secondRequest).getSerializedSize();
        });
    }

    private static RecordStore recordStore(int n) {
        RecordStore s = new RecordStore();
        for (int i = 0; i < n; i++) {
            byte[] value = i < Target.DAEMONS
                    ? Json.write(Samples.hostRecord(i, BACKENDS_PER_HOST))
                    : Json.write(new ShardEntry(i, 3, "host-1", "host-2", false, List.of(), List.of()));
            s.put(RecordStore.record((i < Target.DAEMONS ? "host/host-" : "shards/") + i, 3, value));
        }
        s.endGossipUpdates(List.of());
        return s;
    }

    private void limits() {
        int shardsPerDaemon = DAEMONS_PER_SHARD * Target.SHARDS / Target.DAEMONS;
        heap("leases", "shard held", SHARD_COUNTS, shardsPerDaemon, n -> {
            Map<Integer, ShardLeases> out = new HashMap<>();
            for (int i = 0; i < n; i++) {
                out.put(i, holderLeases(i));
            }
            return out;
        });
        time("lease renewal", "shard held", SHARD_COUNTS, shardsPerDaemon, n -> {
            List<ShardLeases> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                all.add(holderLeases(i));
            }
            long[] now = {0};
            // The time to renew the leases on all n shards, unlike the other times, which are for one operation.
            return n * Meter.nanos(OPERATIONS / 10, i -> all.get(i % n).createRenewal(now[0]++));
        });
        int teamsPerDaemon = Target.TEAMS / Target.DAEMONS * BUCKETS_PER_TEAM;
        int[] teams = {100, 1_000, 8_000};
        heap("buckets", "active team and service", teams, teamsPerDaemon, n -> ledger(n));
        time("decision from buckets", "active team and service", teams, teamsPerDaemon, n -> {
            ShardLedger l = ledger(n);
            TeamService[] keys = new TeamService[n];
            Arrays.setAll(keys, i -> new TeamService("team-" + i, "service-1"));
            Allowance a = new Allowance(50, 20);
            return Meter.nanos(OPERATIONS, i -> l.acquire(Demand.one(keys[i % n]), a, BOTH_HALVES, i * 1000L));
        });
        heap("idempotency keys", "key in the window", new int[] {1_000, 5_000, 20_000}, IDEMPOTENCY_KEYS, n -> {
            IdempotencyLog log = new IdempotencyLog(0);
            for (int i = 0; i < n; i++) {
                log.begin(Samples.digest(i), "team-" + i / 1000, i, 1);
            }
            return log;
        });
    }

    private static ShardLeases holderLeases(int i) {
        ShardLeases l = new ShardLeases("host-1", 1, i, LeaseTerms.DEFAULT);
        l.applyEntry(new ShardEntry(i, 1, "host-1", "host-2", false, List.of(), List.of()), 0);
        return l;
    }

    private static ShardLedger ledger(int n) {
        ShardLedger l = new ShardLedger();
        for (int i = 0; i < n; i++) {
            l.acquire(
                    Demand.one(new TeamService("team-" + i, "service-1")),
                    new Allowance(50, 20),
                    BOTH_HALVES,
                    1_000_000_000L);
        }
        return l;
    }

    private void heap(String structure, String unit, int[] sizes, double fullSize, IntFunction<Object> factory) {
        addRow(structure, unit, "heap, bytes", sizes, fullSize, n -> Meter.heapBytes(() -> factory.apply(n)));
    }

    private void time(String structure, String unit, int[] sizes, double fullSize, IntToDoubleFunction nanos) {
        addRow(structure, unit, "time, ns", sizes, fullSize, nanos);
    }

    private void size(String structure, String unit, int[] sizes, double fullSize, IntToDoubleFunction bytes) {
        addRow(structure, unit, "size, bytes", sizes, fullSize, bytes);
    }

    private void addRow(
            String structure, String unit, String measure, int[] sizes, double fullSize, IntToDoubleFunction value) {
        List<Slope.Point> points = new ArrayList<>();
        for (int n : sizes) {
            points.add(new Slope.Point(n, value.applyAsDouble(n)));
        }
        Slope s = Slope.fit(points);
        String sizeList = Arrays.stream(sizes).mapToObj(Integer::toString).collect(Collectors.joining(", "));
        rows.add(new MeasuredSlope(structure, unit, measure, sizeList, s.perUnit(), fullSize, s.at(fullSize)));
        System.out.println(rows.get(rows.size() - 1).toMarkdown());
    }
}
