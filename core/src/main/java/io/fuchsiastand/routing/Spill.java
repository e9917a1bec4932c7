package io.fuchsiastand.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.fuchsiastand.time.Clock;

/**
 * Zone-aware load balancing of the calls of one service: the own data centre keeps the share of its calls for which its backend
 * servers have room, and the excess goes to the other data centres in proportion to the room that is free there.
 *
 * <p>The demand of all daemons of the data centre together is the load that the owners of its backend servers report, divided by
 * the share that was kept. So these daemons reach similar shares without messages of their own. Thread-safe.
 */
final class Spill {

    private static final double LOAD_SMOOTHING_NANOS = 250e6;
    private static final double RETURN_SMOOTHING_NANOS = 250e6;
    // A service spills until all calls have found room for this time, so that a wave begins and ends it about once.
    private static final long END_NANOS = Duration.ofSeconds(5).toNanos();
    private static final double MIN_SHARE = 0.01;

    private final String dataCentre;
    private final Clock clock;
    private final double maxUtilisation;
    private final Map<String, Room> rooms = new HashMap<>();
    private double share = 1;
    private double smoothedShare = 1;
    private boolean spilling;
    private long spilledNanos;
    private long updatedNanos;

    private static final class Room {
        private double slots;
        private double load;
        private double smoothedLoad = Double.NaN;
        private final List<Candidate> usable = new ArrayList<>();

        private void smooth(double part) {
            smoothedLoad = Double.isNaN(smoothedLoad) ? load : smoothedLoad + part * (load - smoothedLoad);
        }

        private double free(double utilisation) {
            return Math.max(0, slots * utilisation - smoothedLoad);
        }
    }

    /**
     * A backend server in rotation.
     *
     * @param candidate the backend server
     * @param dataCentre its data centre
     * @param isUsable whether the call may go there
     */
    record Place(Candidate candidate, String dataCentre, boolean isUsable) {}

    /**
     * Creates the state of a service that keeps all calls in its data centre.
     *
     * @param dataCentre the data centre of this daemon
     * @param clock the clock
     * @param maxUtilisation the utilisation up to which backend servers have room
     */
    Spill(String dataCentre, Clock clock, double maxUtilisation) {
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.maxUtilisation = maxUtilisation;
        updatedNanos = clock.nanoTime();
    }

    /**
     * Draws data centres for a call, each by the same shares. The call may go to any of them.
     *
     * @param places the backend servers in rotation on hosts that can be reached; the call may go to one of them at least
     * @param localPreference how much more of such calls are kept in the own data centre than of usual ones, at least 1
     * @param draws the number of draws
     * @param random the source of random numbers
     * @return for each draw, the backend servers of that data centre to which the call may go
     */
    synchronized List<List<Candidate>> draw(
            List<Place> places, double localPreference, int draws, RandomGenerator random) {
        count(places);
        double utilisation = update();
        Room own = rooms.get(dataCentre);
        boolean mayStay = own != null && !own.usable.isEmpty();
        List<Room> others = rooms.entrySet().stream()
                .filter(e ->
                        !e.getKey().equals(dataCentre) && !e.getValue().usable.isEmpty())
                .map(Map.Entry::getValue)
                .toList();
        List<List<Candidate>> drawn = new ArrayList<>(draws);
        for (int i = 0; i < draws; i++) {
            boolean stays = mayStay && random.nextDouble() < share * localPreference;
            Room r = stays || others.isEmpty() ? own : drawByFreeRoom(others, utilisation, random);
            drawn.add(List.copyOf(r.usable));
        }
        return drawn;
    }

    private static Room drawByFreeRoom(List<Room> rooms, double utilisation, RandomGenerator random) {
        double free = rooms.stream().mapToDouble(r -> r.free(utilisation)).sum();
        double x = random.nextDouble()
                * (free > 0 ? free : rooms.stream().mapToDouble(r -> r.slots).sum());
        for (Room r : rooms) {
            x -= free > 0 ? r.free(utilisation) : r.slots;
            if (x < 0) {
                return r;
            }
        }
        return rooms.get(rooms.size() - 1);
    }

    /**
     * Returns the share of the draws that keep a call in the own data centre.
     *
     * @return 0 to 1
     */
    synchronized double share() {
        return share;
    }

    /**
     * Returns whether the demand of the data centre exceeds its room.
     *
     * @return true until the demand has been within the room for some seconds
     */
    synchronized boolean isSpilling() {
        return spilling;
    }

    private void count(List<Place> places) {
        rooms.values().forEach(r -> {
            r.slots = 0;
            r.load = 0;
            r.usable.clear();
        });
        long now = clock.nanoTime();
        for (Place p : places) {
            Room r = rooms.computeIfAbsent(p.dataCentre(), k -> new Room());
            r.slots += p.candidate().weightedSlots();
            r.load += p.candidate().load(now);
            if (p.isUsable()) {
                r.usable.add(p.candidate());
            }
        }
        rooms.values().removeIf(r -> r.slots == 0);
    }

    // Returns the utilisation up to which all backend servers are filled: more than the limit if the fleet lacks room.
    private double update() {
        long now = clock.nanoTime();
        double elapsed = Math.max(0, now - updatedNanos);
        updatedNanos = now;
        double part = 1 - Math.exp(-elapsed / LOAD_SMOOTHING_NANOS);
        rooms.values().forEach(r -> r.smooth(part));
        smoothedShare += part * (share - smoothedShare);
        double slots = rooms.values().stream().mapToDouble(r -> r.slots).sum();
        double load = rooms.values().stream().mapToDouble(r -> r.smoothedLoad).sum();
        double utilisation = Math.max(maxUtilisation, load / slots);
        Room own = rooms.get(dataCentre);
        if (own == null || own.slots == slots) {
            share = 1;
            smoothedShare = 1;
            spilling = false;
            return utilisation;
        }
        double room = own.slots * utilisation;
        double demand = own.smoothedLoad / Math.max(MIN_SHARE, smoothedShare);
        double wanted = demand <= room ? 1 : Math.max(own.slots / slots, room / demand);
        share = wanted < share ? wanted : share + (wanted - share) * (1 - Math.exp(-elapsed / RETURN_SMOOTHING_NANOS));
        if (wanted < 1) {
            spilling = true;
            spilledNanos = now;
        } else if (now - spilledNanos >= END_NANOS) {
            spilling = false;
        }
        return utilisation;
    }
}
