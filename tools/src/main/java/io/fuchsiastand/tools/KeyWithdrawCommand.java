package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.time.Instant;

import io.fuchsiastand.key.KeyBucket;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.store.ObjectStore;
import org.kohsuke.args4j.Argument;

/** Withdraws a team key. A withdrawal is final. */
final class KeyWithdrawCommand extends PlatformCommand {

    @Argument(metaVar = "KEY-ID", usage = "the public ID of the key", required = true)
    private String id;

    @Override
    String summary() {
        return "withdraw a key for good";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        KeyStore keys = new KeyStore(store);
        KeyEntry found = keys.findById(id);
        Instant now = Instant.now();
        keys.updateBucket(found.digest(), b -> withdraw(b, found.digest(), now));
        print(out, found.withdraw(now), "key " + id + " of team " + found.team() + " is withdrawn");
    }

    private static KeyBucket withdraw(KeyBucket bucket, String digest, Instant now) {
        return new KeyBucket(bucket.keys().stream()
                .map(k -> k.digest().equals(digest) ? k.withdraw(now) : k)
                .toList());
    }
}
