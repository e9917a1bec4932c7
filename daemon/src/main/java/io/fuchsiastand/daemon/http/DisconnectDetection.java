package io.fuchsiastand.daemon.http;

import java.io.IOException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * Closes a connection when the client has left, so that its call is cancelled. By default ServiceTalk keeps a connection open
 * whose input has ended until the response is sent, because the client could still read it, and finds out about a reset only when it
 * reads or writes again. An HTTP client has no reason to close only its sending side, so this class treats a half-close as a
 * disconnect.
 */
public final class DisconnectDetection {

    private static final String HANDLER_NAME = "disconnect-detection";

    private DisconnectDetection() {}

    /** Has no state, so that all connections share one instance. */
    @ChannelHandler.Sharable
    private static final class Handler extends ChannelInboundHandlerAdapter {

        private static final Handler INSTANCE = new Handler();

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                context.close();
            } else {
                context.fireUserEventTriggered(event);
            }
        }

        // As the first handler, this one sees only errors of the connection itself. Netty does not report the end of
        // the
        // input after a read error, and leaves the connection open if half-closes are allowed.
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
            context.fireExceptionCaught(error);
            if (error instanceof IOException) {
                context.close();
            }
        }
    }

    /**
     * Adds the detection to the connection of a request, unless an earlier request on the connection added it.
     *
     * @param context the connection of the request
     */
    public static void install(HttpServiceContext context) {
        if (context instanceof NettyConnectionContext c) {
            Channel channel = c.nettyChannel();
            if (channel.pipeline().get(HANDLER_NAME) == null) {
                channel.pipeline().addFirst(HANDLER_NAME, Handler.INSTANCE);
            }
        }
    }
}
