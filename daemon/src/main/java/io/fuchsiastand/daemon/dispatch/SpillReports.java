package io.fuchsiastand.daemon.dispatch;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.routing.ServiceDirectory;
import org.tinylog.Logger;

/** Shows operators which services send calls to other data centres, and the share of their calls that is kept. */
final class SpillReports {

    private final ServiceDirectory directory;
    private final Metrics metrics;
    private final Set<String> measured = ConcurrentHashMap.newKeySet();
    private final Set<String> spilling = ConcurrentHashMap.newKeySet();

    SpillReports(ServiceDirectory directory, Metrics metrics) {
        this.directory = directory;
        this.metrics = metrics;
    }

    /**
     * Writes a line of the log if a service began or ended to spill over.
     *
     * @param service the service of the call for which a backend server was just chosen
     */
    void update(String service) {
        if (directory.shareKept(service).isPresent()) {
            if (spilling.add(service)) {
                Logger.info("calls of service {} begin to go to other data centres", service);
            }
            if (measured.add(service)) {
                metrics.registerShareKept(
                        service, () -> directory.shareKept(service).orElse(1));
            }
        } else if (spilling.remove(service)) {
            Logger.info("calls of service {} stay in the data centre again", service);
        }
    }
}
