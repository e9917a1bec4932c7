package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.fuchsiastand.config.ConfigurationAdvice;
import io.fuchsiastand.config.ConfigurationReader;
import io.fuchsiastand.config.Problem;
import io.fuchsiastand.config.TomlFile;
import io.fuchsiastand.store.ObjectStore;
import org.kohsuke.args4j.Option;

/** Checks the teams file and the plans file before they are applied, and shows what differs from the version in force. */
final class CheckCommand extends PlatformCommand {

    @Option(
            name = "--teams",
            metaVar = "FILE",
            usage = "the teams file: the teams and the plan of each",
            required = true)
    private Path teamsFile;

    @Option(
            name = "--plans",
            metaVar = "FILE",
            usage = "the plans file: the services and what each plan may use of them",
            required = true)
    private Path plansFile;

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

    CheckCommand() {
        super(false);
    }

    @Override
    String summary() {
        return "check the two files before they are applied, and show what differs from the version in force";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        TomlFile teams = ConfigurationFiles.open(teamsFile);
        TomlFile plans = ConfigurationFiles.open(plansFile);
        ConfigurationReader.Result r = ConfigurationReader.read(teams, plans);
        boolean valid = r.problems().isEmpty();
        List<Problem> warnings = valid ? ConfigurationAdvice.warnings(r.configuration(), teams, plans) : List.of();
        long version = 0;
        List<String> changes = List.of();
        if (valid && store != null) {
            ConfigurationStore.Current current = new ConfigurationStore(store).read();
            version = current.index().version();
            changes = ConfigurationEffects.lines(current.configuration(), r.configuration());
        }
        report = new Report(r.problems(), warnings, version, changes);
        print(out, report, text(report));
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
