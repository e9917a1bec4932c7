package io.fuchsiastand.daemon.http;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.netty.util.AsciiString;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * The header names and formats that callers and backend servers use. The daemon does not use a header whose name is empty.
 *
 * @param deadlineHeader the header for the time limit of a call in milliseconds, set by the caller and, for the backend
 *     server, by the daemon
 * @param teamHeader the header in which the daemon sends the team of a call to the backend server
 * @param callerHeader the header in which the daemon sends, to the backend server, the service of the host on which the
 *     call began
 * @param instanceHeader the header in which the daemon sends the identifier of the chosen backend server; a backend server
 *     refuses calls with the identifier of another one
 * @param requestIdHeader the header for the identifier of a call
 * @param backendsEchoRequestId whether callers send an identifier with each call and backend servers repeat it in the response;
 *     if not, the daemon gives an identifier to calls that have none, for its log and the caller
 * @param rateLimitHeader the header in which a backend server names the calls a second that it accepts from all daemons
 *     together; without it, there is no limit
 * @param leavingHeader the header with the value 1 in all responses of a backend server that is about to leave its service
 * @param notRun returns whether a response of a backend server proves that the call did not run
 * @param refusalStatuses the statuses that tell a caller that its call did not run and never will
 * @param retryAfterFormat formats a time in milliseconds as the value of Retry-After
 */
public record HeaderConventions(
        String deadlineHeader,
        String teamHeader,
        String callerHeader,
        String instanceHeader,
        String requestIdHeader,
        boolean backendsEchoRequestId,
        String rateLimitHeader,
        String leavingHeader,
        Predicate<StreamingHttpResponse> notRun,
        Set<Integer> refusalStatuses,
        LongFunction<String> retryAfterFormat) {

    private static final long MILLIS_PER_SECOND = 1000;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final String STATUS_LINE_START = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}(?=\\s|$)");

    /** The default conventions, with the header names in {@link HeaderNames}. */
    public static final HeaderConventions DEFAULT = builder()
            .deadlineHeader(HeaderNames.DEADLINE)
            .requestIdHeader(HeaderNames.REQUEST_ID)
            .teamHeader(HeaderNames.TEAM)
            .rateLimitHeader(HeaderNames.RATE_LIMIT)
            .leavingHeader(HeaderNames.LEAVING)
            .notRun(r -> HeaderNames.isNotRun(r.headers()))
            .retryAfterFormat(ms -> Long.toString((ms + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND))
            .build();

    /**
     * Returns a new builder.
     *
     * @return a builder in which all header names are empty
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the headers that only daemons may set on a request to a backend server.
     *
     * @return the header names that are not empty
     */
    public List<String> reservedHeaders() {
        return Stream.of(deadlineHeader, teamHeader, callerHeader, instanceHeader)
                .filter(n -> !n.isEmpty())
                .toList();
    }

    /**
     * Returns the identifier of a request, or the one that its response repeats.
     *
     * @param message the headers of the request or of the response
     * @return the identifier, or null if the message has none or the header is not used
     */
    public CharSequence requestIdOf(HttpHeaders message) {
        return requestIdHeader.isEmpty() ? null : message.get(requestIdHeader);
    }

    /**
     * Returns whether {@link #isResponseTo} can recognise that a response belongs to another request.
     *
     * @param id the identifier of the request, or null if it has none
     * @return true if the request has an identifier and backend servers repeat it in their responses
     */
    public boolean canIdentifyResponses(CharSequence id) {
        return backendsEchoRequestId && id != null;
    }

    /**
     * Returns whether a response belongs to a request, as a whole.
     *
     * @param id the identifier of the request, or null if it has none
     * @param response the response
     * @return false if backend servers must repeat the identifier and the response has another one, none or several, if its
     *     head consists of parts of two responses, or if its status is none of a final response of HTTP
     */
    public boolean isResponseTo(CharSequence id, StreamingHttpResponse response) {
        return hasFinalStatus(response)
                && !containsSecondStatusLine(response)
                && (!canIdentifyResponses(id) || isOnlyIdentifier(id, response.headers()));
    }

    // The decoder accepts any number of three digits from 100.
    private static boolean hasFinalStatus(StreamingHttpResponse response) {
        int status = response.status().code();
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    private boolean isOnlyIdentifier(CharSequence id, HttpHeaders response) {
        Iterator<? extends CharSequence> ids = response.valuesIterator(requestIdHeader);
        return ids.hasNext() && id.toString().contentEquals(ids.next()) && !ids.hasNext();
    }

    // If a response breaks off inside its reason phrase or a field, the status line of the next response continues it.
    // The status then belongs to one response, and the last fields and the body to the other.
    private static boolean containsSecondStatusLine(StreamingHttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<CharSequence, CharSequence> field : response.headers()) {
            if (containsStatusLine(field.getValue()) || AsciiString.contains(field.getKey(), STATUS_LINE_START)) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(CharSequence text) {
        return AsciiString.contains(text, STATUS_LINE_START)
                && STATUS_LINE.matcher(text).find();
    }

    /**
     * Returns the rate limit that a backend server names in a response.
     *
     * @param response the headers of the response
     * @return calls a second, or empty if the response names no limit, or none that is a finite number of at least 0
     */
    public OptionalDouble rateLimitOf(HttpHeaders response) {
        return rateLimitHeader.isEmpty()
                ? OptionalDouble.empty()
                : HeaderNames.parseRate(response.get(rateLimitHeader));
    }

    /**
     * Returns whether a backend server states in a response that it is about to leave.
     *
     * @param response the headers of the response
     * @return true if it leaves
     */
    public boolean isLeaving(HttpHeaders response) {
        CharSequence v = leavingHeader.isEmpty() ? null : response.get(leavingHeader);
        return v != null && "1".contentEquals(v);
    }

    /**
     * Returns whether a response has a status that tells the caller that its call did not run, without a proof of that. A backend
     * server may have failed in this way after it ran the call.
     *
     * @param status the status of the response
     * @param notRun whether the response proves that the call did not run
     * @return true if the caller would be misled
     */
    public boolean isUnprovenRefusal(int status, boolean notRun) {
        return !notRun && refusalStatuses.contains(status);
    }

    /** Builds header conventions. */
    public static final class Builder {
        private String deadlineHeader = "";
        private String teamHeader = "";
        private String callerHeader = "";
        private String instanceHeader = "";
        private String requestIdHeader = "";
        private boolean backendsEchoRequestId;
        private String rateLimitHeader = "";
        private String leavingHeader = "";
        private Predicate<StreamingHttpResponse> notRun = r -> false;
        private Set<Integer> refusalStatuses = Set.of();
        private LongFunction<String> retryAfterFormat = Long::toString;

        private Builder() {}

        /**
         * Sets the name of the header for the time limit of a call.
         *
         * @param name the header name
         * @return this builder
         */
        public Builder deadlineHeader(String name) {
            deadlineHeader = name;
            return this;
        }

        /**
         * Sets the name of the header for the team.
         *
         * @param name the header name
         * @return this builder
         */
        public Builder teamHeader(String name) {
            teamHeader = name;
            return this;
        }

        /**
         * Sets the name of the header for the service of the host on which a call began.
         *
         * @param name the header name
         * @return this builder
         */
        public Builder callerHeader(String name) {
            callerHeader = name;
            return this;
        }

        /**
         * Sets the name of the header for the identifier of the chosen backend server.
         *
         * @param name the header name
         * @return this builder
         */
        public Builder instanceHeader(String name) {
            instanceHeader = name;
            return this;
        }

        /**
         * Sets the name of the header for the identifier of a call.
         *
         * @param name the header name
         * @return this builder
         */
        public Builder requestIdHeader(String name) {
            requestIdHeader = name;
            return this;
        }

        /**
         * Specifies that callers send an identifier with each call and backend servers repeat it in the response.
         *
         * @return this builder
         */
        public Builder backendsEchoRequestId() {
            backendsEchoRequestId = true;
            return this;
        }

        /**
         * Sets the name of the header in which a backend server names its rate limit.
         *
         * @param name the header name
         * @return this builder
         */
        public Builder rateLimitHeader(String name) {
            rateLimitHeader = name;
            return this;
        }

        /**
         * Sets the name of the header with which a backend server states that it is about to leave.
         *
         * @param name the header name
         * @return this builder
         */
        public Builder leavingHeader(String name) {
            leavingHeader = name;
            return this;
        }

        /**
         * Sets the predicate that recognizes responses which prove that a call did not run.
         *
         * @param predicate the predicate
         * @return this builder
         */
        public Builder notRun(Predicate<StreamingHttpResponse> predicate) {
            notRun = predicate;
            return this;
        }

        /**
         * Sets the statuses that tell a caller that its call did not run.
         *
         * @param statuses the statuses
         * @return this builder
         */
        public Builder refusalStatuses(Integer... statuses) {
            refusalStatuses = Set.of(statuses);
            return this;
        }

        /**
         * Sets the format of the Retry-After value.
         *
         * @param format formats a time in milliseconds
         * @return this builder
         */
        public Builder retryAfterFormat(LongFunction<String> format) {
            retryAfterFormat = format;
            return this;
        }

        /**
         * Builds the conventions.
         *
         * @return the conventions
         */
        public HeaderConventions build() {
            return new HeaderConventions(
                    deadlineHeader,
                    teamHeader,
                    callerHeader,
                    instanceHeader,
                    requestIdHeader,
                    backendsEchoRequestId,
                    rateLimitHeader,
                    leavingHeader,
                    notRun,
                    refusalStatuses,
                    retryAfterFormat);
        }
    }
}
