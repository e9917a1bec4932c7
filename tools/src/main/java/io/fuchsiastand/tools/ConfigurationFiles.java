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

/** Reads a configuration from the teams file and the plans file. */
final class ConfigurationFiles {

    private ConfigurationFiles() {}

    /**
     * Reads and checks the two files.
     *
     * @param teamsFile the file that lists the teams and their plans
     * @param plansFile the file that lists the services and what each plan may use of them
     * @return the configuration, with version 0
     * @throws FuchsiastandException with {@link ErrorCode#CONFIGURATION} that lists all problems, or if a file
     *     cannot be read
     */
    static Configuration read(Path teamsFile, Path plansFile) {
        ConfigurationReader.Result r = ConfigurationReader.read(open(teamsFile), open(plansFile));
        if (!r.problems().isEmpty()) {
            throw new FuchsiastandException(
                    ErrorCode.CONFIGURATION,
                    r.problems().stream().map(Problem::toString).collect(Collectors.joining("\n")));
        }
        return r.configuration();
    }

    /**
     * Parses a file.
     *
     * @param file the file
     * @return its content, with a problem if it is not valid TOML
     * @throws FuchsiastandException with {@link ErrorCode#CONFIGURATION} if it cannot be read
     */
    static TomlFile open(Path file) {
        try {
            return new TomlFile(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new FuchsiastandException(ErrorCode.CONFIGURATION, "cannot read " + file, e);
        }
    }
}
