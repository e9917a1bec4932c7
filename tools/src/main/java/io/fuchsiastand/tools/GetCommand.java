package io.fuchsiastand.tools;

import java.io.PrintStream;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.store.ObjectStore;

/** Prints the configuration in force as JSON, also if {@code --output} is text. */
final class GetCommand extends PlatformCommand {

    @Override
    String summary() {
        return "print the configuration in force";
    }

    @Override
    void run(ObjectStore store, PrintStream out) {
        ConfigurationStore.Current current = new ConfigurationStore(store).read();
        print(out, current.configuration(), Json.writeIndented(current.configuration()));
    }
}
