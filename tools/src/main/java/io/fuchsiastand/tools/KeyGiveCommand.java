package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.time.Instant;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.key.TeamKey;
import io.fuchsiastand.store.ObjectStore;
import org.kohsuke.args4j.Argument;

/** Creates a key for a team. The key is printed only once, because the platform stores only its digest. */
final class KeyGiveCommand extends PlatformCommand {

    @Argument(metaVar = "TEAM", usage = "the name of the team", required = true)
    private String team;

    /**
     * A new key.
     *
     * @param id its public ID, by which it is withdrawn
     * @param team the name of the team
     * @param key the key
     */
    record Result(String id, String team, String key) {}

    @Override
    String summary() {
        return "give a team a new key, which is printed only once";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        boolean teamExists =
                new ConfigurationStore(store).read().configuration().teams().containsKey(team);
        if (!teamExists) {
            throw new FuchsiastandException(
                    ErrorCode.NOT_FOUND,
                    "no team is named " + team + "; add the team to the teams file and apply it first");
        }
        String key = TeamKey.generate(new SecureRandom());
        KeyEntry entry = new KeyEntry(Digests.ofText(key), team, Instant.now(), null);
        new KeyStore(store).updateBucket(entry.digest(), b -> b.with(entry));
        print(
                out,
                new Result(entry.id(), team, key),
                "key " + entry.id() + " of team " + team + ", printed only once:\n" + key);
    }
}
