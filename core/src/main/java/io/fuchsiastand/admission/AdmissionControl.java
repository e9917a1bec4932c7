package io.fuchsiastand.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

import io.fuchsiastand.time.Clock;

/**
 * Proportional load shedding at the head of a chain of calls: refuses the part of the requests before they start for whose calls
 * there is no room further down. The less urgent requests are refused first, and those of a team in proportion to its share of
 * the recent requests. A request also gives way to more urgent ones that a service which it calls refuses.
 *
 * <p>At most {@link #MAX_REFUSED_SHARE} of the requests of a team are refused. Without news of the services further down, all
 * requests are admitted within seconds.
 *
 * <p>Thread-safe.
 */
public final class AdmissionControl {

    /** The largest probability with which a request is refused. */
    public static final double MAX_REFUSED_SHARE = 0.8;

    static final int MAX_TEAMS = 256;

    // A smaller shortage may be that of a few backend servers and is left to retries.
    private static final double MIN_SHORTAGE = 0.1;
    private static final double DECAY_NANOS = Duration.ofSeconds(4).toNanos();
    private static final double MIN_REQUESTS = 0.1;

    private final CallGraph graph;
    private final RoomEstimates room;
    private final Clock clock;
    private final DoubleSupplier random;
    private final Map<String, DecayingSum> teams = new HashMap<>();
    private final Map<Integer, DecayingSum> priorities = new TreeMap<>();

    /**
     * The reason to refuse a request.
     *
     * @param service the service further down that lacks the most room
     * @param shortage the share of such calls, or of more urgent requests, that find no room there, 0 to 1
     */
    public record Refusal(String service, double shortage) {}

    /** What the calls of a request meet at a service. */
    private record Shortage(String service, double ofCalls, double ofMoreUrgent) {

        private double worst() {
            return Math.max(ofCalls, ofMoreUrgent);
        }
    }

    /**
     * Creates a control that admits all requests until it knows of a shortage.
     *
     * @param graph the calls that requests make
     * @param room the room at the services that they call
     * @param clock the clock
     * @param random returns random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public AdmissionControl(CallGraph graph, RoomEstimates room, Clock clock, DoubleSupplier random) {
        this.graph = graph;
        this.room = room;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Decides whether a request may start.
     *
     * @param route identifies the route of the request
     * @param team the name of the team that makes the request
     * @param priority the priority of the request; 0 is the most urgent
     * @return the reason to refuse it, or empty if it may start
     */
    public synchronized Optional<Refusal> check(String route, String team, int priority) {
        Map<String, Double> calls = graph.expectedCalls(route);
        if (calls.isEmpty()) {
            return Optional.empty();
        }
        long now = clock.nanoTime();
        record(team, priority, now);
        Shortage worst = new Shortage("", 0, 0);
        for (Map.Entry<String, Double> c : calls.entrySet()) {
            Shortage s = shortage(c.getKey(), c.getValue(), priority);
            if (s.worst() > worst.worst()) {
                worst = s;
            }
        }
        double toRefuse = Math.max(shareOfPriority(worst.ofCalls(), priority, now), worst.ofMoreUrgent());
        double probability = Math.min(MAX_REFUSED_SHARE, toRefuse * demandOfTeam(team, now));
        return random.getAsDouble() < probability
                ? Optional.of(new Refusal(worst.service(), worst.worst()))
                : Optional.empty();
    }

    private Shortage shortage(String service, double calls, int priority) {
        double certainCalls = Math.min(1, calls);
        // Calls that fail although owners have room for them are left to retries, as fewer requests would not help
        // them.
        double ofCalls = Math.min(room.refusedCalls(service), room.refusedByOwners(service, RoomReport.CALLS, 0));
        double ofMoreUrgent = room.refusedByOwners(service, 0, priority);
        return new Shortage(service, ifLarge(ofCalls) * certainCalls, ifLarge(ofMoreUrgent) * certainCalls);
    }

    private static double ifLarge(double shortage) {
        return shortage < MIN_SHORTAGE ? 0 : shortage;
    }

    private void record(String team, int priority, long now) {
        if (teams.size() >= MAX_TEAMS && !teams.containsKey(team)) {
            teams.values().removeIf(x -> x.get(now) < MIN_REQUESTS);
        }
        if (teams.size() < MAX_TEAMS || teams.containsKey(team)) {
            teams.computeIfAbsent(team, k -> new DecayingSum(DECAY_NANOS)).add(1, now);
        }
        priorities
                .computeIfAbsent(Math.min(priority, RoomReport.MAX_PRIORITIES), k -> new DecayingSum(DECAY_NANOS))
                .add(1, now);
    }

    // Part of the requests of a priority to refuse if the less urgent ones are refused first, as far as they may be.
    private double shareOfPriority(double shortage, int priority, long now) {
        double all = 0;
        double lessUrgent = 0;
        double same = 0;
        for (Map.Entry<Integer, DecayingSum> e : priorities.entrySet()) {
            double n = e.getValue().get(now);
            all += n;
            lessUrgent += e.getKey() > priority ? n : 0;
            same += e.getKey() == Math.min(priority, RoomReport.MAX_PRIORITIES) ? n : 0;
        }
        double left = shortage * all - MAX_REFUSED_SHARE * lessUrgent;
        return Math.max(0, Math.min(1, left / same));
    }

    // The requests of a team relative to the mean over the requests of all teams.
    private double demandOfTeam(String team, long now) {
        DecayingSum own = teams.get(team);
        double sum = 0;
        double squares = 0;
        for (DecayingSum t : teams.values()) {
            double n = t.get(now);
            sum += n;
            squares += n * n;
        }
        return own == null ? 1 : own.get(now) * sum / squares;
    }
}
