package io.fuchsiastand.daemon.http;

import java.net.InetSocketAddress;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.client.api.ConnectionFactoryFilter;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;

/**
 * Limits the size of the header section and of the trailer section of a response. ServiceTalk limits the length of each
 * field but not their number, and it keeps all fields in memory until the section ends. If more bytes than the limit arrive
 * before a section or a part of the body is complete, the response fails and the connection is closed. A part of the body is
 * complete as soon as its bytes have arrived, so the length of a body is not limited.
 *
 * <p>Runs on the event loop of the connection.
 */
final class HeaderSizeLimit {

    private final int maxBytes;
    private long undecodedBytes;
    private boolean exceeded;

    private HeaderSizeLimit(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Creates a filter that sets the limit on each new connection of a client.
     *
     * @param maxBytes the limit in bytes
     * @return the filter
     */
    static ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection> forResponses(int maxBytes) {
        return ConnectionFilters.onConnect(c -> install(c.pipeline(), maxBytes));
    }

    /**
     * Sets the limit on a connection.
     *
     * @param pipeline the handlers of the connection, of which the last one receives the decoded parts of responses
     * @param maxBytes the limit in bytes
     */
    static void install(ChannelPipeline pipeline, int maxBytes) {
        HeaderSizeLimit limit = new HeaderSizeLimit(maxBytes);
        pipeline.addFirst(limit.new ReceivedBytesCounter());
        pipeline.addBefore(pipeline.lastContext().name(), null, limit.new DecodedPartObserver());
    }

    private final class ReceivedBytesCounter extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (exceeded) {
                ReferenceCountUtil.release(message);
                return;
            }
            undecodedBytes += ((ByteBuf) message).readableBytes();
            context.fireChannelRead(message);
            if (undecodedBytes > maxBytes) {
                exceeded = true;
                context.fireExceptionCaught(new TooLongFrameException(
                        "the header or trailer section of a response is longer than " + maxBytes + " bytes"));
                context.close();
            }
        }
    }

    private final class DecodedPartObserver extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            undecodedBytes = 0;
            context.fireChannelRead(message);
        }
    }
}
