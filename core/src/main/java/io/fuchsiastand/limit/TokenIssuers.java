package io.fuchsiastand.limit;

import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

import io.fuchsiastand.key.Digests;

/**
 * The list of token issuers: the hosts that may issue tokens. Teams are divided into groups. A few hosts of the list
 * issue the tokens of a group, each an equal share, so the number of token transfers for a team does not grow with the
 * fleet. Each daemon selects the issuers of a group by rendezvous hashing over the list, whether or not the hosts can
 * be reached.
 *
 * <p>Hosts are only removed from the list, never added, and a host stops issuing tokens before it is removed. Therefore
 * a host that still issues tokens by an older version of the list is also an issuer by the newest version, and the
 * shares of all hosts never sum to more than one, whichever versions of the list the hosts use. When the list is empty, no
 * host issues tokens any more, and a list of the next generation can follow it.
 *
 * <p>A host that is lost cannot state that it has stopped. Its right to issue tokens is revoked first: it stays in the list,
 * so that the shares of the others do not change, and issues nothing. It is removed once its {@link IssueLease} has
 * certainly ended, which it cannot renew after the revocation.
 *
 * @param hosts the names of the hosts
 * @param groups the number of groups, fixed when the list of a generation is first written
 * @param generation the number of lists before this one that became empty
 * @param revoked the names of the hosts of the list that must not issue tokens any more
 */
public record TokenIssuers(List<String> hosts, int groups, long generation, List<String> revoked) {

    /**
     * Maximum number of hosts that issue the tokens of one group of teams. If some of them fail, each team of the group
     * loses the share of its rate that these hosts issue.
     */
    public static final int MAX_ISSUERS_PER_GROUP = 12;

    private static final long MAX_HOSTS = 1_000_000_000;
    // The number of groups is the size of the first list divided by this number, rounded up.
    private static final int INITIAL_HOSTS_PER_GROUP = 64;

    /** Creates a list. */
    public TokenIssuers {
        // Lists that an earlier release has written name no revoked hosts.
        revoked = revoked == null ? List.of() : revoked;
    }

    /**
     * Creates the first list of a fleet.
     *
     * @param hosts the names of the hosts of the fleet
     * @return the list
     */
    public static TokenIssuers initial(List<String> hosts) {
        int groups = Math.max(1, (hosts.size() + INITIAL_HOSTS_PER_GROUP - 1) / INITIAL_HOSTS_PER_GROUP);
        return new TokenIssuers(hosts, groups, 0, List.of());
    }

    /**
     * Creates the list of the next generation.
     *
     * @param nextHosts the names of the hosts of the fleet
     * @return the list
     * @throws IllegalStateException if this list is not empty, so that its hosts may still issue tokens
     */
    public TokenIssuers next(List<String> nextHosts) {
        if (!hosts.isEmpty()) {
            throw new IllegalStateException("the list still contains " + hosts);
        }
        TokenIssuers first = initial(nextHosts);
        return new TokenIssuers(first.hosts, first.groups, generation + 1, List.of());
    }

    /**
     * Removes a host.
     *
     * @param host the name of the host, which must have stopped issuing tokens
     * @return the list of the other hosts
     */
    public TokenIssuers without(String host) {
        return without(List.of(host));
    }

    /**
     * Removes hosts.
     *
     * @param gone the names of the hosts, which must have stopped issuing tokens
     * @return the list of the other hosts
     */
    public TokenIssuers without(Collection<String> gone) {
        return new TokenIssuers(
                hosts.stream().filter(h -> !gone.contains(h)).toList(),
                groups,
                generation,
                revoked.stream().filter(h -> !gone.contains(h)).toList());
    }

    /**
     * Revokes the right of hosts to issue tokens. A revocation is never withdrawn.
     *
     * @param lost the names of the hosts
     * @return the list with the same hosts, of which these and the ones revoked before must not issue tokens
     */
    public TokenIssuers withRevoked(Collection<String> lost) {
        return new TokenIssuers(
                hosts,
                groups,
                generation,
                hosts.stream()
                        .filter(h -> revoked.contains(h) || lost.contains(h))
                        .toList());
    }

    /**
     * Returns whether a host may issue tokens as long as it holds its lease.
     *
     * @param host the name of the host
     * @return true if it is in the list and not revoked
     */
    public boolean mayIssue(String host) {
        return hosts.contains(host) && !revoked.contains(host);
    }

    /**
     * Merges lists that were written independently of each other, because the store lost one of them. A host that either of them
     * lacks has stopped issuing tokens, and so have all hosts of an earlier generation.
     *
     * @param other another list
     * @return the list of the later generation or, if they are of the same one, that of the hosts that both contain, of
     *     which those are revoked that either has revoked
     */
    public TokenIssuers merge(TokenIssuers other) {
        if (generation != other.generation) {
            return generation > other.generation ? this : other;
        }
        List<String> common = hosts.stream().filter(other.hosts::contains).toList();
        return new TokenIssuers(common, groups, generation, revoked).withRevoked(other.revoked);
    }

    /**
     * Returns the version of the list, by which daemons order the lists that they receive. It does not depend on the version of
     * the object in the store, which may be given out again.
     *
     * @return a number that rises with each host that is revoked or removed, and with each generation
     */
    public long version() {
        long perGeneration = 2 * MAX_HOSTS + 1;
        return generation * perGeneration + 2 * (MAX_HOSTS - hosts.size()) + revoked.size();
    }

    /**
     * Returns the shares of the tokens that a host issues.
     *
     * @param host the name of the host
     * @return the share by the name of a team, from 0 to 1
     */
    public ToDoubleFunction<String> sharesOf(String host) {
        boolean[] issues = new boolean[Math.max(1, groups)];
        for (int i = 0; i < issues.length; i++) {
            issues[i] = isIssuer(host, i);
        }
        double share = 1.0 / Math.max(1, Math.min(MAX_ISSUERS_PER_GROUP, hosts.size()));
        return team -> issues[(int) Math.floorMod(Digests.hash64(team), (long) issues.length)] ? share : 0;
    }

    // A host issues the tokens of a group if fewer than MAX_ISSUERS_PER_GROUP other hosts of the list rank before it.
    private boolean isIssuer(String host, int group) {
        if (!mayIssue(host)) {
            return false;
        }
        long own = rank(host, group);
        int before = 0;
        for (String h : hosts) {
            long other = rank(h, group);
            if (other < own || (other == own && h.compareTo(host) < 0)) {
                before++;
            }
        }
        return before < MAX_ISSUERS_PER_GROUP;
    }

    private static long rank(String host, int group) {
        return Digests.hash64("maker/" + group + '/' + host);
    }
}
