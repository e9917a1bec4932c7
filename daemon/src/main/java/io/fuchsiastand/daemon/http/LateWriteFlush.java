package io.fuchsiastand.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * Flushes the parts of a response that are written after their flush. ServiceTalk writes and flushes each part. If another
 * I/O thread delivers the head and the event loop of the connection delivers the body, ServiceTalk queues the writes of the
 * body but flushes at once. The body would stay in memory until the next response on the connection.
 *
 * <p>Runs on the event loop of the connection.
 */
final class LateWriteFlush extends ChannelOutboundHandlerAdapter {

    private boolean unflushed;
    private boolean checkQueued;

    private LateWriteFlush() {}

    /**
     * Adds the handler to a connection.
     *
     * @param channel the channel of the connection, whose last handler is the one of ServiceTalk
     */
    static void install(Channel channel) {
        // An SslHandler, which holds back what it has not been told to flush, must be nearer to the socket.
        channel.pipeline().addBefore(channel.pipeline().lastContext().name(), null, new LateWriteFlush());
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        unflushed = true;
        context.write(message, promise);
        // The writes that are already queued come before the check.
        if (!checkQueued) {
            checkQueued = true;
            context.executor().execute(() -> flushLateWrites(context));
        }
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        unflushed = false;
        context.flush();
    }

    private void flushLateWrites(ChannelHandlerContext context) {
        checkQueued = false;
        if (unflushed) {
            flush(context);
        }
    }
}
