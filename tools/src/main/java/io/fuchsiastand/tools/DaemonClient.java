package io.fuchsiastand.tools;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/** Reads from the admin port of a daemon. */
final class DaemonClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private DaemonClient() {}

    /**
     * Reads the status of a daemon.
     *
     * @param address the host and the admin port
     * @return the status
     */
    static JsonNode status(String address) {
        return Json.read(get(address, "/status"), JsonNode.class);
    }

    private static byte[] get(String address, String path) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(TIMEOUT)
                    .build();
            HttpResponse<byte[]> r = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (r.statusCode() != OK) {
                throw unavailable(address, "answers " + r.statusCode(), null);
            }
            return r.body();
        } catch (IOException e) {
            throw unavailable(address, "does not answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unavailable(address, "does not answer", e);
        } catch (IllegalArgumentException e) {
            throw new FuchsiastandException(ErrorCode.USAGE, address + " is not HOST:PORT", e);
        }
    }

    private static FuchsiastandException unavailable(String address, String what, Exception cause) {
        return new FuchsiastandException(
                ErrorCode.PLATFORM_UNAVAILABLE, "the daemon at " + address + " " + what, cause);
    }
}
