package io.fuchsiastand.tools;

import java.io.PrintStream;
import java.time.Duration;
import java.util.SplittableRandom;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.store.HttpObjectStore;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.RetryingObjectStore;
import org.kohsuke.args4j.Option;

/** A subcommand that reads or writes objects of the platform. */
abstract class PlatformCommand extends Command {

    private static final int MAX_TRIES = 6;

    @Option(name = "--platform", metaVar = "HOST:PORT", usage = "the platform's address")
    private String platform;

    private final boolean needsPlatform;

    PlatformCommand() {
        this(true);
    }

    /**
     * Creates a command.
     *
     * @param needsPlatform whether the address of the platform must be given
     */
    PlatformCommand(boolean needsPlatform) {
        this.needsPlatform = needsPlatform;
    }

    /**
     * Executes the command.
     *
     * @param store the object store of the platform, which retries failed calls; null if no address was given
     * @param out the stream to which results are printed
     */
    abstract void run(ObjectStore store, PrintStream out);

    @Override
    final void run(PrintStream out) {
        if (platform == null) {
            if (needsPlatform) {
                throw new FuchsiastandException(ErrorCode.USAGE, "Option \"--platform\" is required");
            }
            run((ObjectStore) null, out);
            return;
        }
        int colon = platform.lastIndexOf(':');
        if (colon <= 0 || !platform.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new FuchsiastandException(ErrorCode.USAGE, "--platform must be HOST:PORT, not " + platform);
        }
        int port = Integer.parseInt(platform.substring(colon + 1));
        HttpObjectStore http = new HttpObjectStore(platform.substring(0, colon), port, Duration.ofSeconds(1));
        try {
            run(new RetryingObjectStore(http, MAX_TRIES, RetryingObjectStore::sleep, new SplittableRandom()), out);
        } finally {
            close(http);
        }
    }

    private static void close(HttpObjectStore http) {
        try {
            http.close();
        } catch (Exception e) {
            throw new FuchsiastandException(
                    ErrorCode.PLATFORM_ERROR, "the connection to the platform cannot be closed", e);
        }
    }
}
