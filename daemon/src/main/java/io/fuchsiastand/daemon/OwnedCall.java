package io.fuchsiastand.daemon;

import io.fuchsiastand.health.Baseline;
import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * A call that an ingress daemon sends to the daemon of the backend server's host.
 *
 * @param backend the name of the backend server
 * @param service the service
 * @param team the team, or an empty text on open routes
 * @param deadline monotonic time of this host by which the call must be done, in nanoseconds
 * @param baseline how the service does at large
 * @param request the request, without headers that do not travel on
 */
public record OwnedCall(
        String backend, String service, String team, long deadline, Baseline baseline, StreamingHttpRequest request) {}
