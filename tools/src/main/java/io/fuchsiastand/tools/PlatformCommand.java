package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.util.List;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.ObjectStore;

/** A subcommand that reads or writes objects of the platform, whose address must be given. */
abstract class PlatformCommand extends Command {

    private final PlatformOption platform = new PlatformOption();

    /**
     * Executes the command.
     *
     * @param store the object store of the platform, which retries failed calls
     * @param out the stream to which results are printed
     */
    abstract void run(ObjectStore store, PrintStream out);

    final PlatformOption platform() {
        return platform;
    }

    @Override
    List<Object> optionGroups() {
        return List.of(platform);
    }

    @Override
    final void run(PrintStream out) {
        platform.map(store -> {
                    run(store, out);
                    return store;
                })
                .orElseThrow(() -> new FuchsiastandException(ErrorCode.USAGE, "Option \"--platform\" is required"));
    }
}
