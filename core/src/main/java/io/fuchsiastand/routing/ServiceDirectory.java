package io.fuchsiastand.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.fuchsiastand.config.Service;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.work.ServiceWork;

/**
 * Holds all backend servers of the fleet by service and chooses one for each call. It draws two backend servers at
 * random, which may be the same, and chooses the one with the better score. If the cost of the call is known, it draws
 * three and chooses the one at which the call is expected to end first. It prefers the backend servers of the
 * daemon's own data centre until their utilisation reaches a limit, or with {@link Spill} as long as all calls of the data centre
 * together find room there.
 */
public final class ServiceDirectory {

    /**
     * Mean utilisation of the usable backend servers of the own data centre at which calls also go to other data
     * centres.
     */
    public static final double MAX_LOCAL_UTILISATION = 0.8;

    /**
     * The same for a call with a large body, whose transfer to another data centre costs more than a short wait in a queue.
     */
    public static final double MAX_LOCAL_UTILISATION_FOR_LARGE_BODIES = 1.2;

    private static final int LARGE_BODY_BYTES = 16 * 1024;
    private static final int MAX_REMOVED = 1024;
    private static final int CHOICES_BY_COUNT = 2;
    private static final int CHOICES_BY_WORK = 3;

    private final String dataCentre;
    private final Clock clock;
    private final Function<String, Optional<Member>> members;
    private final Function<String, Optional<Service>> services;
    private final Map<String, List<Candidate>> candidatesByService = new ConcurrentHashMap<>();
    private final Map<String, ServiceWork> workByService = new ConcurrentHashMap<>();
    private final boolean isSpillShared;
    private final Map<String, Spill> spillByService = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Candidate>> candidatesByHost = new HashMap<>();

    // Candidates that were removed, the oldest first. A daemon that restarts publishes a record without its backend
    // servers before they announce themselves again. What their answers stated must not be forgotten then.
    private final Map<ProcessKey, Candidate> removed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ProcessKey, Candidate> eldest) {
            return size() > MAX_REMOVED;
        }
    };

    // Processes that have left, the oldest first.
    private final Set<ProcessKey> departed = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ProcessKey, Boolean> eldest) {
            return size() > MAX_REMOVED;
        }
    });

    private record ProcessKey(String host, String id, long incarnation) {}

    /**
     * Creates a directory.
     *
     * @param dataCentre the data centre of this daemon
     * @param clock the clock
     * @param members returns the member of the fleet on a host; called while the directory is locked, so it must not wait for
     *     another lock
     * @param services returns the settings of a service
     */
    public ServiceDirectory(
            String dataCentre,
            Clock clock,
            Function<String, Optional<Member>> members,
            Function<String, Optional<Service>> services) {
        this(dataCentre, clock, members, services, false);
    }

    /**
     * Creates a directory.
     *
     * @param dataCentre the data centre of this daemon
     * @param clock the clock
     * @param members returns the member of the fleet on a host; called while the directory is locked, so it must not wait for
     *     another lock
     * @param services returns the settings of a service
     * @param isSpillShared whether only the calls that find no room in the own data centre go to others, in proportion to their
     *     room; otherwise all calls may once the own data centre is used to a limit
     */
    public ServiceDirectory(
            String dataCentre,
            Clock clock,
            Function<String, Optional<Member>> members,
            Function<String, Optional<Service>> services,
            boolean isSpillShared) {
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.members = members;
        this.services = services;
        this.isSpillShared = isSpillShared;
    }

    /**
     * Applies the latest record of a host: adds, updates and removes its backend servers.
     *
     * @param record the record of the host
     */
    public synchronized void update(HostRecord record) {
        Map<String, Candidate> known = candidatesByHost.computeIfAbsent(record.host(), k -> new HashMap<>());
        Set<String> changedServices = new HashSet<>();
        Set<String> ids = new HashSet<>();
        for (BackendServer s : record.servers()) {
            ids.add(s.id());
            changedServices.add(s.service());
            Candidate c = known.get(s.id());
            if (c != null && isSameProcess(c.server(), s)) {
                c.setServer(s);
                continue;
            }
            if (c != null) {
                remove(c, changedServices);
            }
            Candidate added = restoreOrCreate(record.host(), s);
            known.put(s.id(), added);
            candidatesByService.merge(s.service(), List.of(added), ServiceDirectory::concat);
        }
        known.values().removeIf(c -> {
            boolean gone = !ids.contains(c.server().id());
            if (gone) {
                remove(c, changedServices);
            }
            return gone;
        });
        changedServices.forEach(this::updateWeights);
    }

    /**
     * Takes a backend server out of rotation for good, because an answer has stated that it is about to leave. A process that
     * starts later under its name is not affected.
     *
     * @param c the backend server
     */
    public synchronized void recordLeaving(Candidate c) {
        c.recordLeaving();
        updateWeights(c.server().service());
    }

    /**
     * Takes the backend servers that have left, or are about to, out of rotation for good, as {@link #recordLeaving} does.
     *
     * @param departures the record of a host
     */
    public synchronized void recordDepartures(Departures departures) {
        for (Departures.Process p : departures.processes()) {
            departed.add(new ProcessKey(departures.host(), p.id(), p.incarnation()));
            find(departures.host(), p.id())
                    .filter(c -> c.server().incarnation() == p.incarnation())
                    .ifPresent(this::recordLeaving);
        }
    }

    /**
     * Removes a host that left the fleet for good, with its backend servers. Does nothing if the host is a member of the
     * fleet, because it has joined again.
     *
     * @param host the name of the host
     */
    public synchronized void removeHost(String host) {
        if (members.apply(host).isPresent()) {
            return;
        }
        update(new HostRecord(host, List.of()));
        candidatesByHost.remove(host);
    }

    /**
     * Updates the weights in each service with backend servers on a host, after the state of the host changed.
     *
     * @param host the name of the host
     */
    public synchronized void updateWeightsOfHost(String host) {
        candidatesByHost.getOrDefault(host, Map.of()).values().stream()
                .map(c -> c.server().service())
                .distinct()
                .forEach(this::updateWeights);
    }

    /** Updates the weights of all backend servers after the configuration changed. */
    public synchronized void updateAllWeights() {
        candidatesByService.keySet().forEach(this::updateWeights);
    }

    /**
     * Chooses a backend server for a call.
     *
     * @param service the name of the service
     * @param excluded candidates that were already tried for this call
     * @param random the source of random choices
     * @return empty if no candidate in rotation is left that is not excluded; otherwise one from the first of these
     *     groups that is not empty: those on usable hosts to which no call failed or was refused a short time ago,
     *     those on usable hosts, all; {@link Candidate#isHostUsable} determines whether a host is usable
     */
    public Optional<Candidate> pick(String service, Set<Candidate> excluded, RandomGenerator random) {
        return pick(service, excluded, MAX_LOCAL_UTILISATION, 0, random);
    }

    /**
     * Chooses a backend server for a call, as {@link #pick(String, Set, RandomGenerator)} does.
     *
     * @param service the name of the service
     * @param excluded candidates that were already tried for this call
     * @param maxLocalUtilisation mean utilisation of the usable backend servers of the own data centre at which the call may go
     *     to another one
     * @param costMillis the usual cost of the call in milliseconds of slot time; 0 if it is unknown or if the choice is to go by
     *     the number of calls
     * @param random the source of random choices
     * @return the candidate, or empty if there is none
     */
    public Optional<Candidate> pick(
            String service,
            Set<Candidate> excluded,
            double maxLocalUtilisation,
            double costMillis,
            RandomGenerator random) {
        List<Candidate> usable = usable(service, excluded);
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        // A call that was refused or failed goes by the load of the backend servers that are left.
        int choices = costMillis > 0 ? CHOICES_BY_WORK : CHOICES_BY_COUNT;
        List<List<Candidate>> from = isSpillShared && excluded.isEmpty()
                ? spillBy(service, usable, maxLocalUtilisation / MAX_LOCAL_UTILISATION, choices, random)
                : Collections.nCopies(choices, localBelow(maxLocalUtilisation, usable));
        return Optional.of(
                costMillis > 0 ? pickSoonestOfThree(from, costMillis, random) : pickBetterOfTwo(from, random));
    }

    /**
     * Returns the mean utilisation of the usable backend servers of the own data centre at which a call may go to another one.
     *
     * @param bodyBytes the length of its body in bytes; {@link Long#MAX_VALUE} if it is unknown
     * @return the utilisation; 1 if all slots are taken
     */
    public static double maxLocalUtilisation(long bodyBytes) {
        return bodyBytes >= LARGE_BODY_BYTES ? MAX_LOCAL_UTILISATION_FOR_LARGE_BODIES : MAX_LOCAL_UTILISATION;
    }

    /**
     * Lists the backend servers among which a call is drawn now.
     *
     * @param service the name of the service
     * @param excluded candidates that were already tried for this call
     * @param maxLocalUtilisation mean utilisation of the usable backend servers of the own data centre at which the call may go
     *     to another one
     * @return the candidates, or an empty list if there is none
     */
    public List<Candidate> choices(String service, Set<Candidate> excluded, double maxLocalUtilisation) {
        return localBelow(maxLocalUtilisation, usable(service, excluded));
    }

    private List<Candidate> usable(String service, Set<Candidate> excluded) {
        List<Candidate> all = candidatesByService.getOrDefault(service, List.of());
        List<Candidate> usable =
                usable(all, c -> !excluded.contains(c) && c.isHostUsable(clock) && !c.isAvoided(clock));
        if (usable.isEmpty()) {
            usable = usable(all, c -> !excluded.contains(c) && c.isHostUsable(clock));
        }
        if (usable.isEmpty()) {
            // A blocked host may be reachable again, so an attempt is better than a refusal.
            usable = usable(all, c -> !excluded.contains(c));
        }
        return usable;
    }

    /**
     * Chooses an ejected backend server for a trial call. Without trial calls, an ejected backend server that is well again
     * would get no calls until its ejection ends.
     *
     * @param service the name of the service
     * @param random the source of random choices
     * @return a backend server that is out of rotation because it is ejected and to which a trial call is due, or empty if
     *     there is none
     */
    public Optional<Candidate> pickForTrial(String service, RandomGenerator random) {
        return candidatesByService.getOrDefault(service, List.of()).stream()
                .filter(c -> isHostReachable(c) && c.isHostUsable(clock) && !c.isAvoided(clock))
                .filter(c -> c.tryBeginTrial(clock, random))
                .findFirst();
    }

    /**
     * Lists the backend servers of a service.
     *
     * @param service the name of the service
     * @return all backend servers, whether in rotation or not
     */
    public List<Candidate> candidates(String service) {
        return candidatesByService.getOrDefault(service, List.of());
    }

    /**
     * Returns what is known of the work at the backend servers of a service.
     *
     * @param service the name of the service
     * @return the state, which is created if there is none
     */
    public ServiceWork work(String service) {
        return workByService.computeIfAbsent(service, k -> new ServiceWork());
    }

    /**
     * Returns the share of the calls of a service that this daemon keeps in its data centre.
     *
     * @param service the name of the service
     * @return 0 to 1, or empty while the service does not spill over to other data centres, or if that goes by a limit
     */
    public OptionalDouble shareKept(String service) {
        Spill s = spillByService.get(service);
        return s == null || !s.isSpilling() ? OptionalDouble.empty() : OptionalDouble.of(s.share());
    }

    /**
     * Returns the services that have backend servers.
     *
     * @return the names of the services
     */
    public Set<String> services() {
        return Set.copyOf(candidatesByService.keySet());
    }

    /**
     * Finds a backend server.
     *
     * @param host the name of the host
     * @param id the id of the backend server
     * @return the candidate, or empty if it is unknown
     */
    public synchronized Optional<Candidate> find(String host, String id) {
        return Optional.ofNullable(candidatesByHost.getOrDefault(host, Map.of()).get(id));
    }

    private List<Candidate> localBelow(double maxLocalUtilisation, List<Candidate> usable) {
        List<Candidate> local = new ArrayList<>(usable.size());
        double load = 0;
        for (Candidate c : usable) {
            if (isInOwnDataCentre(c)) {
                local.add(c);
                load += c.utilisation();
            }
        }
        boolean preferLocal = !local.isEmpty() && load / local.size() < maxLocalUtilisation;
        return preferLocal ? local : usable;
    }

    private List<List<Candidate>> spillBy(
            String service, List<Candidate> usable, double localPreference, int choices, RandomGenerator random) {
        List<Candidate> all = candidatesByService.getOrDefault(service, List.of());
        Set<Candidate> mayTake = Set.copyOf(usable);
        List<Spill.Place> places = new ArrayList<>(all.size());
        for (Candidate c : all) {
            boolean isUsable = mayTake.contains(c);
            if (isUsable || c.weight() > 0 && c.isHostUsable(clock)) {
                String place = members.apply(c.host()).map(Member::dataCentre).orElse("");
                places.add(new Spill.Place(c, place, isUsable));
            }
        }
        return spillByService
                .computeIfAbsent(service, k -> new Spill(dataCentre, clock, MAX_LOCAL_UTILISATION))
                .draw(places, localPreference, choices, random);
    }

    private static Candidate pickBetterOfTwo(List<List<Candidate>> from, RandomGenerator random) {
        Candidate a = from.get(0).get(random.nextInt(from.get(0).size()));
        Candidate b = from.get(1).get(random.nextInt(from.get(1).size()));
        return a.score() <= b.score() ? a : b;
    }

    // If all are drawn from the same list of at most three, all of them are compared.
    private Candidate pickSoonestOfThree(List<List<Candidate>> from, double costMillis, RandomGenerator random) {
        long now = clock.nanoTime();
        int first = random.nextInt(from.get(0).size());
        Candidate best = from.get(0).get(first);
        double bestMillis = best.expectedFinishMillis(costMillis, now);
        for (int i = 1; i < CHOICES_BY_WORK; i++) {
            List<Candidate> l = from.get(i);
            int size = l.size();
            Candidate c = l.get(size <= CHOICES_BY_WORK ? (first + i) % size : random.nextInt(size));
            double millis = c.expectedFinishMillis(costMillis, now);
            if (millis < bestMillis) {
                best = c;
                bestMillis = millis;
            }
        }
        return best;
    }

    private boolean isInOwnDataCentre(Candidate c) {
        return members.apply(c.host())
                .map(m -> m.dataCentre().equals(dataCentre))
                .orElse(false);
    }

    private void updateWeights(String service) {
        double floor = services.apply(service).map(Service::floor).orElse(Service.DEFAULT_FLOOR);
        Rotation.apply(candidates(service), this::isHostReachable, floor);
    }

    private boolean isHostReachable(Candidate c) {
        return members.apply(c.host()).map(Member::isReachable).orElse(false);
    }

    private Candidate restoreOrCreate(String host, BackendServer s) {
        ProcessKey key = new ProcessKey(host, s.id(), s.incarnation());
        Candidate c = removed.remove(key);
        if (c == null || !isSameProcess(c.server(), s)) {
            c = new Candidate(host, s, work(s.service()), clock.nanoTime());
        } else {
            c.setServer(s);
        }
        if (departed.contains(key)) {
            c.recordLeaving();
        }
        return c;
    }

    private static boolean isSameProcess(BackendServer a, BackendServer b) {
        return a.incarnation() == b.incarnation() && a.service().equals(b.service());
    }

    private void remove(Candidate c, Set<String> changedServices) {
        String service = c.server().service();
        removed.put(new ProcessKey(c.host(), c.server().id(), c.server().incarnation()), c);
        changedServices.add(service);
        candidatesByService.computeIfPresent(service, (k, l) -> {
            List<Candidate> out = l.stream().filter(x -> x != c).toList();
            return out.isEmpty() ? null : out;
        });
    }

    private static List<Candidate> usable(List<Candidate> all, Predicate<Candidate> test) {
        List<Candidate> out = new ArrayList<>(all.size());
        for (Candidate c : all) {
            if (c.weight() > 0 && test.test(c)) {
                out.add(c);
            }
        }
        return out;
    }

    private static List<Candidate> concat(List<Candidate> a, List<Candidate> b) {
        List<Candidate> out = new ArrayList<>(a);
        out.addAll(b);
        return List.copyOf(out);
    }
}
