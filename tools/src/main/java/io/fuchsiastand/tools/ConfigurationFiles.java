package io.fuchsiastand.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationReader;
import io.fuchsiastand.config.Problem;
import io.fuchsiastand.config.TomlFile;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import org.kohsuke.args4j.Option;

/** The options for the teams file and the plans file, and the configuration in them. */
final class ConfigurationFiles {

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

    /**
     * Reads and checks the two files.
     *
     * @return the configuration, with version 0
     * @throws FuchsiastandException with {@link ErrorCode#CONFIGURATION} that lists all problems, or if a file
     *     cannot be read
     */
    Configuration read() {
        ConfigurationReader.Result r = ConfigurationReader.read(teams(), plans());
        if (!r.problems().isEmpty()) {
            throw new FuchsiastandException(
                    ErrorCode.CONFIGURATION,
                    r.problems().stream().map(Problem::toString).collect(Collectors.joining("\n")));
        }
        return r.configuration();
    }

    /**
     * Parses the teams file.
     *
     * @return its content, with a problem if it is not valid TOML
     * @throws FuchsiastandException with {@link ErrorCode#CONFIGURATION} if it cannot be read
     */
    TomlFile teams() {
        return open(teamsFile);
    }

    /**
     * Parses the plans file, as {@link #teams} does.
     *
     * @return its content
     */
    TomlFile plans() {
        return open(plansFile);
    }

    private static TomlFile open(Path file) {
        try {
            return new TomlFile(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new FuchsiastandException(ErrorCode.CONFIGURATION, "cannot read " + file, e);
        }
    }
}
