package io.fuchsiastand.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.Detection;
import io.fuchsiastand.config.Idempotency;
import io.fuchsiastand.config.Plan;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;
import io.fuchsiastand.config.Team;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.key.KeyBucket;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.key.KeyTable;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.routing.BackendServer;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.routing.HostRecord;
import io.fuchsiastand.routing.ServiceDirectory;
import io.fuchsiastand.time.Clock;

/** Creates configurations, key tables, memberships and service directories with given numbers of entries. */
final class Samples {

    private static final int PLANS = 40;
    private static final int SERVICES_PER_PLAN = 25;
    private static final String[] DATA_CENTRES = {"r1-a", "r1-b", "r2-a", "r2-b"};

    private Samples() {}

    static Configuration configuration(int routes, int teams, int services) {
        Configuration.Builder b = Configuration.builder().version(1);
        int routesPerService = Math.max(1, routes / services);
        for (int s = 0; s < services; s++) {
            List<Route> list = new ArrayList<>();
            for (int r = 0; r < routesPerService; r++) {
                list.add(Route.of("*", "/service-" + s + "/part-" + r, false, Idempotency.BY_METHOD));
            }
            b.service(new Service("service-" + s, 0.5, Duration.ofSeconds(5), 16, Detection.CAREFUL, list));
        }
        for (int p = 0; p < PLANS; p++) {
            Map<String, Allowance> allowances = new HashMap<>();
            for (int s = 0; s < SERVICES_PER_PLAN; s++) {
                allowances.put("service-" + (p * 7 + s) % services, new Allowance(50, 20));
            }
            b.plan(new Plan("plan-" + p, allowances));
        }
        for (int t = 0; t < teams; t++) {
            b.team(Team.of("team-" + t, "plan-" + t % PLANS));
        }
        return b.build();
    }

    static String digest(int key) {
        return Digests.ofText("key " + key);
    }

    static Map<String, KeyBucket> keys(int count) {
        Map<String, List<KeyEntry>> buckets = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String d = digest(i);
            buckets.computeIfAbsent(KeyBucket.objectNameFor(d), k -> new ArrayList<>())
                    .add(new KeyEntry(d, "team-" + i / 2, Instant.EPOCH, null));
        }
        Map<String, KeyBucket> out = new HashMap<>();
        buckets.forEach((n, l) -> out.put(n, new KeyBucket(l)));
        return out;
    }

    static KeyTable keyTable(int count) {
        KeyTable table = new KeyTable();
        keys(count).forEach(table::update);
        return table;
    }

    static Member member(int i) {
        return new Member(
                "host-" + i,
                "10.0." + i / 250 + '.' + i % 250,
                8081,
                8082,
                DATA_CENTRES[i % DATA_CENTRES.length],
                1_790_000_000_000L + i,
                MemberState.ALIVE,
                0);
    }

    static List<MemberUpdate> updates(int count) {
        List<MemberUpdate> out = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            out.add(member(i).toUpdate());
        }
        return out;
    }

    static Membership membership(int self, int count) {
        Membership m = new Membership(member(self), Clock.system(), new SplittableRandom(self));
        m.apply(updates(count));
        while (m.hasUpdates()) {
            m.takeUpdates();
        }
        return m;
    }

    static HostRecord hostRecord(int i, int servers) {
        List<BackendServer> list = new ArrayList<>();
        for (int s = 0; s < servers; s++) {
            int service = (i * servers + s) % Target.SERVICES;
            list.add(new BackendServer("backend-" + s, "service-" + service, 3, BackendState.SERVING, 1, 0, 0));
        }
        return new HostRecord("host-" + i, list);
    }

    static ServiceDirectory directory(int hosts, int serversPerHost) {
        Map<String, Member> members = new HashMap<>();
        for (int i = 0; i < hosts; i++) {
            members.put("host-" + i, member(i));
        }
        ServiceDirectory d = new ServiceDirectory(
                DATA_CENTRES[0], Clock.system(), h -> Optional.ofNullable(members.get(h)), s -> Optional.empty());
        for (int i = 0; i < hosts; i++) {
            d.update(hostRecord(i, serversPerHost));
        }
        return d;
    }
}
