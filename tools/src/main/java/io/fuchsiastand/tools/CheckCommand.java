package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationAdvice;
import io.fuchsiastand.config.ConfigurationReader;
import io.fuchsiastand.config.Problem;
import io.fuchsiastand.config.TomlFile;
import org.kohsuke.args4j.Option;

/** Checks the teams file and the plans file before they are applied, and shows what differs from the version in force. */
final class CheckCommand extends Command {

    private final ConfigurationFiles files = new ConfigurationFiles();
    private final PlatformOption platform = new PlatformOption();

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
        List<Problem> warnings = valid ? ConfigurationAdvice.warnings(r.configuration(), teams, plans) : List.of();
        long version = 0;
        List<String> changes = List.of();
        Optional<Configuration> current =
                valid ? platform.map(s -> new ConfigurationStore(s).read().configuration()) : Optional.empty();
        if (current.isPresent()) {
            version = current.get().version();
            changes = ConfigurationEffects.lines(current.get(), r.configuration());
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
