package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.time.Instant;
import java.util.UUID;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.StoredObject;
import org.kohsuke.args4j.Argument;

/** Declares that a host is gone for good, so that shards on which it might still hold leases can be taken over. */
final class HostGoneCommand extends PlatformCommand {

    private static final String PREFIX = "gone/";

    @Argument(metaVar = "HOST", usage = "the name of a host that is switched off", required = true)
    private String host;

    /**
     * The declaration that is stored on the platform.
     *
     * @param host the name of the host
     * @param at the time of the declaration
     */
    record Declaration(String host, Instant at) {}

    @Override
    String summary() {
        return "declare that a host is switched off, so that its shards can be taken over";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        Declaration d = new Declaration(host, Instant.now());
        long version = store.get(PREFIX + host).map(StoredObject::version).orElse(StoredObject.ABSENT);
        store.put(PREFIX + host, Json.write(d), version, UUID.randomUUID().toString());
        print(
                out,
                d,
                "host " + host
                        + " is declared gone; other daemons may now take over its shards, so it must be switched off");
    }
}
