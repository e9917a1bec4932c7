package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.List;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.ObjectStore;
import org.kohsuke.args4j.Option;

/** Writes the configuration in the teams file and the plans file to the platform and puts it in force. */
final class ApplyCommand extends PlatformCommand {

    private static final int ANY_VERSION = -1;

    private final ConfigurationFiles files = new ConfigurationFiles();

    @Option(name = "--expect", metaVar = "VERSION", usage = "the version that the files were edited from")
    private long expectedVersion = ANY_VERSION;

    /**
     * The result of the command, or of {@link DiffCommand}, which applies nothing.
     *
     * @param version the version in force
     * @param changes a line for each difference, as {@link ConfigurationDiff#lines} returns them
     */
    record Result(long version, List<String> changes) {}

    @Override
    List<Object> optionGroups() {
        return List.of(platform(), files);
    }

    @Override
    String summary() {
        return "put the teams file and the plans file in force as the new configuration";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        Configuration next = files.read();
        ConfigurationStore configurations = new ConfigurationStore(store);
        ConfigurationStore.Current current = configurations.read();
        List<String> changes = ConfigurationDiff.lines(current.configuration(), next);
        if (expectedVersion != ANY_VERSION && expectedVersion != current.index().version()) {
            throw conflict(current, changes);
        }
        if (changes.isEmpty()) {
            long v = current.index().version();
            print(out, new Result(v, changes), "nothing to change; version " + v + " stays in force");
            return;
        }
        long version;
        try {
            version = configurations.replace(current, next);
        } catch (FuchsiastandException e) {
            if (e.code() != ErrorCode.CONFLICT) {
                throw e;
            }
            ConfigurationStore.Current now = configurations.read();
            throw conflict(now, ConfigurationDiff.lines(now.configuration(), next));
        }
        print(out, new Result(version, changes), "version " + version + " is in force\n" + String.join("\n", changes));
    }

    private static FuchsiastandException conflict(ConfigurationStore.Current now, List<String> changes) {
        return new FuchsiastandException(
                ErrorCode.CONFLICT,
                "version " + now.index().version()
                        + " is in force, which is not the expected version or was put in force during this command;"
                        + " applying your files would change:\n"
                        + String.join("\n", changes));
    }
}
