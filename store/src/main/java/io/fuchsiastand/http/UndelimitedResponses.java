package io.fuchsiastand.http;

import java.net.InetSocketAddress;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.servicetalk.client.api.ConnectionFactoryFilter;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.HttpResponseMetaDataFactory;

import static io.servicetalk.http.api.HttpHeaderNames.CONTENT_LENGTH;
import static io.servicetalk.http.api.HttpHeaderNames.TRANSFER_ENCODING;

/** Responses without a length, which end with their connection (RFC 9112, section 6.3). */
public final class UndelimitedResponses {

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private UndelimitedResponses() {}

    /**
     * Returns whether a response ends with its connection. The response to a HEAD request never does.
     *
     * @param response the head of a response to a request other than HEAD
     * @return true if the head does not tell where the response ends
     */
    public static boolean isUndelimited(HttpResponseMetaData response) {
        int status = response.status().code();
        return status != NO_CONTENT && status != NOT_MODIFIED && lacksLength(response);
    }

    /**
     * Creates a filter that lets such responses be passed on. The decoder of a connection reads the header fields of the head
     * once more at the end of the input, and takes a response for incomplete if the fields say by then how it is sent to
     * someone else. With the filter, the decoder keeps header fields of its own.
     *
     * @return the filter for the connections of a client
     */
    public static ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection> passingOn() {
        return ConnectionFilters.onConnect(
                c -> c.pipeline().addBefore(c.pipeline().lastContext().name(), null, new HeadCopier()));
    }

    private static boolean lacksLength(HttpMetaData message) {
        HttpHeaders h = message.headers();
        return !h.contains(CONTENT_LENGTH) && !h.contains(TRANSFER_ENCODING);
    }

    private static final class HeadCopier extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            boolean copies = message instanceof HttpResponseMetaData m && lacksLength(m);
            context.fireChannelRead(copies ? copy((HttpResponseMetaData) message) : message);
        }

        private static HttpResponseMetaData copy(HttpResponseMetaData m) {
            return HttpResponseMetaDataFactory.newResponseMetaData(
                    m.version(),
                    m.status(),
                    DefaultHttpHeadersFactory.INSTANCE.newHeaders().add(m.headers()));
        }
    }
}
