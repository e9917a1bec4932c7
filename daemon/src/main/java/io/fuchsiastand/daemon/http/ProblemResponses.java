package io.fuchsiastand.daemon.http;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.error.ErrorCode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

/**
 * Creates the responses with which a daemon refuses a call or reports that it failed. The body is a problem document (RFC
 * 9457).
 */
public final class ProblemResponses {

    static final String MEDIA_TYPE = "application/problem+json";

    private ProblemResponses() {}

    /**
     * The body of a response that refuses a call or reports that it failed.
     *
     * @param type a URI that identifies the kind of problem
     * @param title the title of the error code
     * @param status the HTTP status
     * @param detail a description of the problem
     * @param code the error code, which does not change between versions
     * @param runState {@link HeaderNames#NOT_RUN} or {@link HeaderNames#UNKNOWN}
     */
    public record Body(String type, String title, int status, String detail, String code, String runState) {}

    /**
     * Serializes the body of a response.
     *
     * @param code the error code, which does not change between versions
     * @param detail a description of the problem
     * @param runState {@link HeaderNames#NOT_RUN} or {@link HeaderNames#UNKNOWN}
     * @return the JSON document
     */
    static byte[] body(ErrorCode code, String detail, String runState) {
        String type = "urn:fuchsiastand:" + code.code();
        return Json.write(new Body(type, code.title(), code.status(), detail, code.code(), runState));
    }

    /**
     * Creates a response.
     *
     * @param factory creates responses
     * @param allocator creates buffers
     * @param refusal the reason for the refusal
     * @param host the name of this host
     * @param conventions the header conventions of callers
     * @return the response
     */
    public static StreamingHttpResponse create(
            StreamingHttpResponseFactory factory,
            BufferAllocator allocator,
            RefusalException refusal,
            String host,
            HeaderConventions conventions) {
        String runState = refusal.isNotRun() ? HeaderNames.NOT_RUN : HeaderNames.UNKNOWN;
        byte[] body = body(refusal.code(), refusal.getMessage(), runState);
        Buffer buffer = allocator.wrap(body);
        StreamingHttpResponse r = factory.newResponse(
                        HttpResponseStatus.of(refusal.code().status(), ""))
                .payloadBody(Publisher.from(buffer));
        r.headers()
                .set("content-type", MEDIA_TYPE)
                .set("content-length", Integer.toString(body.length))
                .set(HeaderNames.RUN_STATE, runState)
                .set(HeaderNames.REFUSED_BY, host);
        if (refusal.isNotSent()) {
            r.headers().set(HeaderNames.NOT_SENT, "1");
        }
        if (refusal.faultProbability() < 1) {
            r.headers().set(HeaderNames.FAULT_PROBABILITY, Double.toString(refusal.faultProbability()));
        }
        if (refusal.retryAfterMillis() > 0) {
            r.headers()
                    .set(HeaderNames.RETRY_AFTER, conventions.retryAfterFormat().apply(refusal.retryAfterMillis()));
        }
        return r;
    }
}
