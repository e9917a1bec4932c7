package io.fuchsiastand.tools;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.config.Surroundings;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/** Sends requests to the admin port of a daemon. */
final class DaemonClient {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    private DaemonClient() {}

    /**
     * Reads the status of a daemon.
     *
     * @param address the host and the admin port, as HOST:PORT
     * @return the status
     * @throws FuchsiastandException with {@link ErrorCode#PLATFORM_UNAVAILABLE} if the daemon does not respond with
     *     status 200 or this thread is interrupted, or {@link ErrorCode#USAGE} if the address is invalid
     */
    static JsonNode status(String address) {
        return Json.read(readExisting(address, "/status"), JsonNode.class);
    }

    /**
     * Reads the configuration that a daemon has in force, and what it knows of keys and backend servers.
     *
     * @param address the host and the admin port, as HOST:PORT
     * @return the surroundings of a new configuration
     * @throws FuchsiastandException as {@link #status} does
     */
    static Surroundings surroundings(String address) {
        return Json.read(readExisting(address, "/configuration"), Surroundings.class);
    }

    /**
     * Asks a daemon how it would choose a backend server for a request.
     *
     * @param address the host and the admin port, as HOST:PORT
     * @param query the parameters of the request, by name
     * @return the explanation, or empty if the configuration in force at the daemon has no route for the request, or if the daemon
     *     is of a version that explains nothing
     * @throws FuchsiastandException as {@link #status} does
     */
    static Optional<JsonNode> explain(String address, Map<String, String> query) {
        String text = query.entrySet().stream()
                .map(e -> e.getKey()
                        + '='
                        + URLEncoder.encode(e.getValue(), StandardCharsets.UTF_8)
                                .replace("+", "%20"))
                .collect(Collectors.joining("&"));
        return read(address, "/explain?" + text).map(b -> Json.read(b, JsonNode.class));
    }

    private static byte[] readExisting(String address, String path) {
        return read(address, path)
                .orElseThrow(() -> unavailable(address, "responded with status " + STATUS_NOT_FOUND, null));
    }

    private static Optional<byte[]> read(String address, String path) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(REQUEST_TIMEOUT)
                    .build();
            HttpResponse<byte[]> r = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (r.statusCode() == STATUS_NOT_FOUND) {
                return Optional.empty();
            }
            if (r.statusCode() != STATUS_OK) {
                throw unavailable(address, "responded with status " + r.statusCode(), null);
            }
            return Optional.of(r.body());
        } catch (IOException e) {
            throw unavailable(address, "did not respond", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unavailable(address, "did not respond before this program was interrupted", e);
        } catch (IllegalArgumentException e) {
            throw new FuchsiastandException(ErrorCode.USAGE, address + " is not HOST:PORT", e);
        }
    }

    private static FuchsiastandException unavailable(String address, String problem, Exception cause) {
        return new FuchsiastandException(
                ErrorCode.PLATFORM_UNAVAILABLE, "the daemon at " + address + " " + problem, cause);
    }
}
