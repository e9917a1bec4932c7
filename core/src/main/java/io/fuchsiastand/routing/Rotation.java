package io.fuchsiastand.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decides which backend servers of a service are in rotation. The daemon of a host sets the state of a failing backend
 * server to {@link BackendState#EJECTED}. This class takes these backend servers out of rotation, the most severe fault
 * first and in the same order in every daemon, but none whose removal would bring the slots in rotation below the floor
 * of the service. Backend servers that are unreachable, draining or starting, or that named a rate limit, already reduce
 * these slots. Ejected backend servers that stay in rotation because of the floor get a weight of 0.25, but count with all
 * their slots.
 */
public final class Rotation {

    /** Weight of an ejected backend server that stays in rotation because of the floor. */
    public static final double FLOOR_WEIGHT = 0.25;

    private Rotation() {}

    /**
     * Sets the weight of each backend server of a service.
     *
     * @param candidates all known backend servers of the service, those of unreachable hosts included
     * @param isHostReachable returns whether the host of a candidate is reachable
     * @param floor the share of the slots of the service, 0 to 1, that must stay in rotation when ejected backend
     *     servers are taken out
     * @return the number of ejected backend servers that are taken out of rotation
     */
    public static int apply(List<Candidate> candidates, Predicate<Candidate> isHostReachable, double floor) {
        double totalSlots = 0;
        double availableSlots = 0;
        List<Candidate> ejected = new ArrayList<>();
        for (Candidate c : candidates) {
            BackendServer s = c.server();
            totalSlots += s.slots();
            if (!isHostReachable.test(c) || s.state() == BackendState.DRAINING || c.isLeaving()) {
                c.setWeight(0);
                continue;
            }
            c.setWeight(s.weight());
            availableSlots += s.slots() * c.weight();
            if (s.state() == BackendState.EJECTED) {
                ejected.add(c);
            }
        }
        return removeFromRotation(ejected, availableSlots, floor * totalSlots);
    }

    private static int removeFromRotation(List<Candidate> ejected, double availableSlots, double minSlots) {
        ejected.sort(Comparator.comparingDouble((Candidate c) -> -c.server().severity())
                .thenComparing(Candidate::host)
                .thenComparing(c -> c.server().id()));
        double remainingSlots = availableSlots;
        int removed = 0;
        for (Candidate c : ejected) {
            double slotsAfterRemoval = remainingSlots - c.server().slots() * c.weight();
            // At least one backend server stays in rotation, even if all are ejected and the floor is 0.
            if (slotsAfterRemoval >= minSlots && slotsAfterRemoval > 0) {
                remainingSlots = slotsAfterRemoval;
                c.setWeight(0);
                removed++;
            } else {
                c.setWeight(FLOOR_WEIGHT * c.weight());
            }
        }
        return removed;
    }
}
