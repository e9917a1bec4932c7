package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationAdvice;
import io.fuchsiastand.config.ConfigurationReader;
import io.fuchsiastand.config.Problem;
import io.fuchsiastand.config.Surroundings;
import io.fuchsiastand.config.TomlFile;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.store.ObjectStore;
import org.kohsuke.args4j.Option;

/** Checks the teams file and the plans file before they are applied, and shows what differs from the version in force. */
final class CheckCommand extends Command {

    private final ConfigurationFiles files = new ConfigurationFiles();
    private final PlatformOption platform = new PlatformOption();

    @Option(
            name = "--daemon",
            metaVar = "HOST:PORT",
            usage =
                    "the admin port of a daemon, to compare with the version that it has in force, its keys and backend servers")
    private String daemonAddress;

    @Option(name = "--strict", usage = "exit with 2 if there are warnings")
    private boolean strict;

    private Report report;

    /**
     * What was found.
     *
     * @param errors the problems for which the configuration is not accepted
     * @param warnings entries that never match, and limits that contradict each other
     * @param comparedWith the version in force, or 0 if the configuration was compared with none
     * @param changes what differs from it
     */
    record Report(List<Problem> errors, List<Problem> warnings, long comparedWith, List<String> changes) {}

    @Override
    List<Object> optionGroups() {
        return List.of(files, platform);
    }

    @Override
    String summary() {
        return "check the two files before they are applied, and show what differs from the version in force";
    }

    @Override
    void run(PrintStream out) {
        TomlFile teams = files.teams();
        TomlFile plans = files.plans();
        ConfigurationReader.Result r = ConfigurationReader.read(teams, plans);
        boolean valid = r.problems().isEmpty();
        report = valid ? compare(r.configuration(), teams, plans) : new Report(r.problems(), List.of(), 0, List.of());
        print(out, report, text(report));
    }

    private Report compare(Configuration c, TomlFile teams, TomlFile plans) {
        Optional<Surroundings> known = surroundings();
        List<Problem> warnings = ConfigurationAdvice.warnings(c, teams, plans, known.orElse(Surroundings.UNKNOWN));
        List<String> changes =
                known.map(k -> ConfigurationEffects.lines(k.configuration(), c)).orElse(List.of());
        return new Report(
                List.of(), warnings, known.map(k -> k.configuration().version()).orElse(0L), changes);
    }

    private Optional<Surroundings> surroundings() {
        if (daemonAddress != null && platform.isGiven()) {
            throw new FuchsiastandException(ErrorCode.USAGE, "only one of --platform and --daemon can be given");
        }
        return daemonAddress != null
                ? Optional.of(DaemonClient.surroundings(daemonAddress))
                : platform.map(CheckCommand::readSurroundings);
    }

    // The platform does not know the backend servers.
    private static Surroundings readSurroundings(ObjectStore store) {
        Map<String, Integer> keys = new TreeMap<>();
        for (KeyEntry k : new KeyStore(store).list()) {
            if (k.withdrawn() == null) {
                keys.merge(k.team(), 1, Integer::sum);
            }
        }
        return new Surroundings(new ConfigurationStore(store).read().configuration(), keys, Map.of());
    }

    @Override
    int exitCode() {
        if (!report.errors().isEmpty()) {
            return Fuchsiactl.EXIT_FAILURE;
        }
        return strict && !report.warnings().isEmpty() ? Fuchsiactl.EXIT_WARNINGS : Fuchsiactl.EXIT_OK;
    }

    private static String text(Report r) {
        List<String> out = new ArrayList<>();
        r.errors().forEach(p -> out.add("error " + p));
        r.warnings().forEach(p -> out.add("warning " + p));
        if (r.comparedWith() > 0) {
            out.add("differences from version " + r.comparedWith() + ": "
                    + r.changes().size());
            out.addAll(r.changes());
        }
        out.add(r.errors().size() + " errors, " + r.warnings().size() + " warnings");
        return String.join("\n", out);
    }
}
