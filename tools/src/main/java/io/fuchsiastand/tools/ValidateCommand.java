package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.List;

import io.fuchsiastand.config.Configuration;

/** Checks the teams file and the plans file without writing to the platform. */
final class ValidateCommand extends Command {

    private final ConfigurationFiles files = new ConfigurationFiles();

    @Override
    List<Object> optionGroups() {
        return List.of(files);
    }

    @Override
    String summary() {
        return "check the teams file and the plans file";
    }

    @Override
    void run(PrintStream out) {
        Configuration c = files.read();
        print(
                out,
                c,
                "valid: " + c.services().size() + " services, " + c.plans().size() + " plans, "
                        + c.teams().size() + " teams");
    }
}
