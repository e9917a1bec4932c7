package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.store.ObjectStore;
import org.kohsuke.args4j.Option;

/** Lists the team keys by their public IDs. */
final class KeyListCommand extends PlatformCommand {

    @Option(name = "--team", metaVar = "TEAM", usage = "only the keys of this team")
    private String team;

    @Override
    String summary() {
        return "list the keys by their public IDs";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        List<KeyEntry> keys = new KeyStore(store)
                .list().stream()
                        .filter(k -> team == null || k.team().equals(team))
                        .sorted(Comparator.comparing(KeyEntry::team).thenComparing(KeyEntry::given))
                        .toList();
        print(
                out,
                keys,
                keys.stream()
                        .map(k -> k.id() + "  " + k.team() + "  given " + k.given()
                                + (k.withdrawn() == null ? "" : "  withdrawn " + k.withdrawn()))
                        .collect(Collectors.joining("\n")));
    }
}
