package io.fuchsiastand.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fuchsiastand.time.Clock;

/**
 * Room at other services, as this daemon hears of it: the reports of owners with the answers that pass anyway, of which the
 * lower median counts, and the ends of the calls that backend servers of this host make. All of it decays to no knowledge,
 * which counts as room. Bounded in memory.
 *
 * <p>Thread-safe.
 */
public final class RoomEstimates {

    static final int MAX_SERVICES = 64;
    static final int MAX_SERVERS = 64;

    private static final double OUTCOME_DECAY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double REPORT_DECAY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long MAX_REPORT_AGE_NANOS = Duration.ofSeconds(6).toNanos();
    private static final double PRIOR_CALLS = 4;

    private final Clock clock;
    private final Map<String, ServiceRoom> services = new HashMap<>();

    private record TimedReport(RoomReport report, long receivedAt) {}

    private static final class ServiceRoom {
        private final Map<String, TimedReport> servers = new HashMap<>();
        private final DecayingSum calls = new DecayingSum(OUTCOME_DECAY_NANOS);
        private final DecayingSum refused = new DecayingSum(OUTCOME_DECAY_NANOS);
    }

    /**
     * Creates estimates without knowledge.
     *
     * @param clock the clock
     */
    public RoomEstimates(Clock clock) {
        this.clock = clock;
    }

    /**
     * Stores the report of an owner.
     *
     * @param service the name of the service
     * @param server identifies the backend server
     * @param report the report
     */
    public synchronized void hear(String service, String server, RoomReport report) {
        ServiceRoom r = find(service);
        if (r == null) {
            return;
        }
        long now = clock.nanoTime();
        if (r.servers.size() >= MAX_SERVERS && !r.servers.containsKey(server)) {
            r.servers.values().removeIf(s -> now - s.receivedAt() > MAX_REPORT_AGE_NANOS);
        }
        if (r.servers.size() < MAX_SERVERS || r.servers.containsKey(server)) {
            r.servers.put(server, new TimedReport(report, now));
        }
    }

    /**
     * Records the end of a call that a backend server of this host made.
     *
     * @param service the name of the service that it called
     * @param foundRoom false if the call did not run because no backend server took it
     */
    public synchronized void recordCall(String service, boolean foundRoom) {
        ServiceRoom r = find(service);
        if (r != null) {
            r.calls.add(1, clock.nanoTime());
            r.refused.add(foundRoom ? 0 : 1, clock.nanoTime());
        }
    }

    /**
     * Returns the share of the calls of backend servers of this host that found no room lately.
     *
     * @param service the name of the service that they call
     * @return 0 to 1
     */
    public synchronized double refusedCalls(String service) {
        ServiceRoom r = services.get(service);
        long now = clock.nanoTime();
        return r == null ? 0 : r.refused.get(now) / (r.calls.get(now) + PRIOR_CALLS);
    }

    /**
     * Returns the share of calls that owners of the service refused lately.
     *
     * @param service the name of the service
     * @param from the most urgent priority of these calls
     * @param below the priority after their least urgent one
     * @return 0 to 1
     */
    public synchronized double refusedByOwners(String service, int from, int below) {
        ServiceRoom r = services.get(service);
        if (r == null) {
            return 0;
        }
        long now = clock.nanoTime();
        List<Double> shares = new ArrayList<>();
        for (TimedReport s : r.servers.values()) {
            long age = now - s.receivedAt();
            if (age <= MAX_REPORT_AGE_NANOS) {
                shares.add(s.report().refusedIn(from, below) * Math.exp(-age / REPORT_DECAY_NANOS));
            }
        }
        shares.sort(null);
        return shares.isEmpty() ? 0 : shares.get((shares.size() - 1) / 2);
    }

    private ServiceRoom find(String service) {
        if (services.size() >= MAX_SERVICES && !services.containsKey(service)) {
            return null;
        }
        return services.computeIfAbsent(service, k -> new ServiceRoom());
    }
}
