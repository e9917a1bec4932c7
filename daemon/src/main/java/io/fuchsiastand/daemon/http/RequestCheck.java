package io.fuchsiastand.daemon.http;

import java.util.Iterator;
import java.util.Map;
import java.util.Set;

import io.fuchsiastand.config.RequestLimits;
import io.fuchsiastand.error.ErrorCode;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * Refuses requests with a method that the daemon does not forward, requests that are too large, and requests whose framing or
 * header fields the daemon and a backend server could interpret differently (RFC 9112, section 6.3).
 */
public final class RequestCheck {

    private static final String CONTENT_LENGTH = "content-length";
    // The colon, the space and the line end (CR and LF) of a header field.
    private static final int FIELD_OVERHEAD_BYTES = 4;
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE");

    private RequestCheck() {}

    /**
     * Checks the method and the header fields of a request.
     *
     * @param request the request
     * @param maxFields the maximum number of header fields
     * @throws RefusalException if the request must not be forwarded
     */
    public static void check(StreamingHttpRequest request, int maxFields) {
        HttpHeaders h = request.headers();
        if (!METHODS.contains(request.method().name())) {
            throw bad("the method " + request.method().name() + ", which the daemon does not forward");
        }
        if (h.contains(CONTENT_LENGTH) && h.contains(TRANSFER_ENCODING)) {
            throw bad("both Content-Length and Transfer-Encoding");
        }
        checkNoConflict(h, CONTENT_LENGTH);
        Iterator<? extends CharSequence> encodings = h.valuesIterator(TRANSFER_ENCODING);
        while (encodings.hasNext()) {
            if (!"chunked".equalsIgnoreCase(encodings.next().toString().strip())) {
                throw bad("a Transfer-Encoding other than chunked");
            }
        }
        checkNotRepeated(h, "host");
        if (!h.contains("host") && request.version().equals(HttpProtocolVersion.HTTP_1_1)) {
            throw bad("no Host field");
        }
        checkFieldValues(h, maxFields);
        checkNotRepeated(h, HeaderNames.AUTHORIZATION);
        checkNotRepeated(h, HeaderNames.IDEMPOTENCY_KEY);
    }

    /**
     * Returns whether a request has a body.
     *
     * @param request the request
     * @return true if the request has Transfer-Encoding or a Content-Length other than 0
     */
    public static boolean hasBody(StreamingHttpRequest request) {
        HttpHeaders h = request.headers();
        CharSequence length = h.get(CONTENT_LENGTH);
        return h.contains(TRANSFER_ENCODING) || (length != null && !"0".contentEquals(length));
    }

    /**
     * Refuses a request whose Content-Length, or whose target and header fields together, exceed the limits of the
     * configuration. The length of a body without Content-Length is not limited.
     *
     * @param request the request
     * @param limits the limits on requests of callers
     * @throws RefusalException if the request is too large
     */
    public static void checkSize(StreamingHttpRequest request, RequestLimits limits) {
        CharSequence length = request.headers().get(CONTENT_LENGTH);
        if (HeaderNames.parseLong(length, 0) > limits.bodyBytes()) {
            throw RefusalException.notRun(
                    ErrorCode.BODY_TOO_LARGE, "the body has more than " + limits.bodyBytes() + " bytes");
        }
        long bytes = request.requestTarget().length();
        for (Map.Entry<CharSequence, CharSequence> e : request.headers()) {
            bytes += e.getKey().length() + e.getValue().length() + FIELD_OVERHEAD_BYTES;
        }
        if (bytes > limits.headerBytes()) {
            throw RefusalException.notRun(
                    ErrorCode.FIELDS_TOO_LARGE,
                    "the target and the header fields together have more than " + limits.headerBytes() + " bytes");
        }
    }

    /**
     * Returns the length of a body.
     *
     * @param request the request
     * @return the Content-Length in bytes, or {@link Long#MAX_VALUE} if the request has none
     */
    public static long bodyLength(StreamingHttpRequest request) {
        return HeaderNames.parseLong(request.headers().get(CONTENT_LENGTH), Long.MAX_VALUE);
    }

    // HTTP implementations interpret NUL, carriage return and line feed inside a field value differently.
    private static void checkFieldValues(HttpHeaders h, int maxFields) {
        int fields = 0;
        for (Map.Entry<CharSequence, CharSequence> e : h) {
            fields++;
            CharSequence v = e.getValue();
            for (int i = 0; i < v.length(); i++) {
                char c = v.charAt(i);
                if (c == 0 || c == '\r' || c == '\n') {
                    throw bad("a control character in the field " + e.getKey());
                }
            }
        }
        if (fields > maxFields) {
            throw RefusalException.notRun(
                    ErrorCode.FIELDS_TOO_LARGE, "the request has more than " + maxFields + " header fields");
        }
    }

    private static void checkNoConflict(HttpHeaders h, String name) {
        Iterator<? extends CharSequence> i = h.valuesIterator(name);
        String first = null;
        while (i.hasNext()) {
            String v = i.next().toString();
            if (!v.matches("[0-9]{1,18}") || (first != null && !first.equals(v))) {
                throw bad("an invalid or conflicting " + name);
            }
            first = v;
        }
    }

    private static void checkNotRepeated(HttpHeaders h, String name) {
        Iterator<? extends CharSequence> i = h.valuesIterator(name);
        if (i.hasNext()) {
            i.next();
            if (i.hasNext()) {
                throw bad("more than one " + name);
            }
        }
    }

    private static RefusalException bad(String what) {
        return RefusalException.notRun(ErrorCode.BAD_REQUEST, "the request has " + what);
    }
}
