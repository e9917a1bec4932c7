package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.List;

import io.fuchsiastand.store.ObjectStore;

/** Shows what applying the teams file and the plans file would change. */
final class DiffCommand extends PlatformCommand {

    private final ConfigurationFiles files = new ConfigurationFiles();

    @Override
    List<Object> optionGroups() {
        return List.of(platform(), files);
    }

    @Override
    String summary() {
        return "show what applying the teams file and the plans file would change";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        ConfigurationStore.Current current = new ConfigurationStore(store).read();
        List<String> changes = ConfigurationDiff.lines(current.configuration(), files.read());
        print(
                out,
                new ApplyCommand.Result(current.index().version(), changes),
                changes.isEmpty()
                        ? "no difference from version " + current.index().version()
                        : String.join("\n", changes));
    }
}
