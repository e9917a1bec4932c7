package io.fuchsiastand.daemon.dispatch;

import java.net.ProtocolException;

import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpResponse;

import static io.servicetalk.concurrent.api.Single.failed;
import static io.servicetalk.concurrent.api.Single.succeeded;
import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

/**
 * Checks that the answers of other daemons, and their refusals, belong to the requests that were forwarded to them.
 *
 * @param conventions the name of the header for the identifier of a request
 * @param log the log of decisions about requests
 */
record AnswerCheck(HeaderConventions conventions, RequestLog log) {

    /**
     * Checks an answer. If it belongs to another request, its connection is closed, because the answers that follow there
     * cannot be assigned to requests.
     *
     * @param id the identifier of the request, or null if it has none
     * @param host the host of the daemon that sent the answer
     * @param answer the answer
     * @return the answer, or a {@link ProtocolException}
     */
    Single<StreamingHttpResponse> check(CharSequence id, String host, StreamingHttpResponse answer) {
        if (conventions.isResponseTo(id, answer)) {
            return succeeded(answer);
        }
        log.write(
                "answer to another request",
                id,
                "host",
                host,
                "status",
                answer.status().code(),
                "answer to",
                String.valueOf(conventions.requestIdOf(answer.headers())));
        toSource(answer.messageBody()).subscribe(new CancellingSubscriber());
        return failed(new ProtocolException("the answer does not carry the identifier of the request"));
    }

    // Cancels before it requests anything. A body that is read to its end would return the connection to the pool.
    private static final class CancellingSubscriber implements PublisherSource.Subscriber<Object> {

        @Override
        public void onSubscribe(PublisherSource.Subscription subscription) {
            subscription.cancel();
        }

        @Override
        public void onNext(Object item) {
            // No item was requested.
        }

        @Override
        public void onError(Throwable t) {
            // The connection is closed already.
        }

        @Override
        public void onComplete() {
            // The subscription was cancelled.
        }
    }
}
