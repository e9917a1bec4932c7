package io.fuchsiastand.key;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The valid team keys by digest. A withdrawal is final: once a key is withdrawn in this table, a later version of its
 * bucket that lists it as valid does not make it valid again. {@code KeyController} of the daemon writes the table, on
 * the thread that stores a record; request threads read it.
 */
public final class KeyTable {

    private final Map<String, String> teams = new ConcurrentHashMap<>();
    private final Set<String> withdrawn = ConcurrentHashMap.newKeySet();
    private final Map<String, List<KeyEntry>> buckets = new ConcurrentHashMap<>();

    /**
     * Finds the team of a key.
     *
     * @param digest the digest of the key
     * @return the name of the team, or empty if the key is unknown or withdrawn
     */
    public Optional<String> teamOf(String digest) {
        if (withdrawn.contains(digest)) {
            return Optional.empty();
        }
        return Optional.ofNullable(teams.get(digest));
    }

    /**
     * Applies the current content of a bucket. A key that the previous content of the bucket listed and the new content
     * does not is removed.
     *
     * @param name the object name of the bucket
     * @param bucket the content of the bucket
     */
    public void update(String name, KeyBucket bucket) {
        for (KeyEntry k : bucket.keys()) {
            if (k.withdrawn() != null) {
                withdraw(k.digest());
            } else if (!withdrawn.contains(k.digest())) {
                teams.put(k.digest(), k.team());
            }
        }
        List<KeyEntry> before = buckets.put(name, bucket.keys());
        if (before != null) {
            before.stream()
                    .filter(k ->
                            bucket.keys().stream().noneMatch(n -> n.digest().equals(k.digest())))
                    .forEach(k -> teams.remove(k.digest()));
        }
    }

    /**
     * Withdraws a key permanently.
     *
     * @param digest the digest of the key
     * @return true if the key was not withdrawn before
     */
    public boolean withdraw(String digest) {
        boolean changed = withdrawn.add(digest);
        teams.remove(digest);
        return changed;
    }

    /**
     * Returns whether a key is withdrawn.
     *
     * @param digest the digest of the key
     * @return true if the key is withdrawn
     */
    public boolean isWithdrawn(String digest) {
        return withdrawn.contains(digest);
    }

    /**
     * Finds the full digest of a valid key by its public ID.
     *
     * @param id the public ID, the start of the digest
     * @return the digest, or empty if no valid key or more than one matches
     */
    public Optional<String> findDigest(String id) {
        List<String> found =
                teams.keySet().stream().filter(d -> d.startsWith(id)).limit(2).toList();
        return found.size() == 1 ? Optional.of(found.get(0)) : Optional.empty();
    }

    /**
     * Counts the valid keys of each team.
     *
     * @return the numbers by the names of the teams that have any
     */
    public Map<String, Integer> countByTeam() {
        Map<String, Integer> out = new HashMap<>();
        teams.values().forEach(t -> out.merge(t, 1, Integer::sum));
        return out;
    }

    /**
     * Returns the number of valid keys.
     *
     * @return the number of keys
     */
    public int size() {
        return teams.size();
    }
}
