package io.fuchsiastand.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;

import io.fuchsiastand.memory.SharedBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.client.api.ConnectionFactoryFilter;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpMetaData;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;

/**
 * Limits the size of the header section and of the trailer section of an HTTP message, and of a body. ServiceTalk limits the
 * length of each field but not their number, and it keeps all fields in memory until the section ends. If more bytes or lines
 * than the limit arrive before a section or a part of the body is complete, the message fails and the connection is closed. A
 * part of the body is complete as soon as its bytes have arrived.
 *
 * <p>What the connections hold together is limited by a {@link SharedBuffer}: sections that have not ended, requests that have
 * no response yet, and bodies that are kept as a whole.
 *
 * <p>Runs on the event loop of the connection.
 */
public final class MessageSizeLimit {

    /** The value of a limit on bodies that are not limited. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    // What a decoded field takes on the heap besides its characters: its entry, and a buffer each for name and value.
    private static final int FIELD_COST_BYTES = 320;
    private static final int MESSAGE_COST_BYTES = 1_000;
    // What the last request of an idle connection may take without being counted.
    private static final int ORDINARY_REQUEST_BYTES = 8_000;
    // The decoder receives no more at once, so that a read that is full of short lines does not take memory
    // before it is counted.
    private static final int SLICE_BYTES = 2_048;

    private final Rejection rejection;
    private final MessageLimits limits;
    private final SectionLines lines = new SectionLines();
    private SharedBuffer.Share share;
    private long heldBytes;
    private long undecodedBytes;
    private long bodyBytes;
    // What is left of a body whose length is known.
    private long remainingBodyBytes;
    private long openRequestsBytes;
    // ServiceTalk keeps a request until the next one of the connection arrives, also when the response is complete.
    private long lastRequestBytes;
    private final Queue<Long> openRequests = new ArrayDeque<>(1);
    private boolean exceeded;
    // Set by the thread that fills the buffer. The connection decodes nothing more, also if its own task has to wait.
    private volatile boolean dropped;
    private ChannelHandlerContext firstContext;

    private MessageSizeLimit(MessageLimits limits, Rejection rejection) {
        this.rejection = rejection;
        this.limits = limits;
    }

    /** The part of a message that exceeds its limit. */
    public enum Part {
        /** The header or trailer section, or a line before a part of the body. */
        SECTION,
        /** The body. */
        BODY,
        /** What the connection holds, when all connections together hold too much. */
        SHARE
    }

    /** Ends a connection on which a message exceeds a limit. */
    @FunctionalInterface
    public interface Rejection {

        /**
         * Closes a connection. No more bytes of it are decoded.
         *
         * @param context the context of a handler that is before the decoder
         * @param part the part of the message that is too long
         * @param problem the description of the excess
         * @param mayRun whether the connection has passed on a request to which no response has begun
         */
        void reject(ChannelHandlerContext context, Part part, String problem, boolean mayRun);
    }

    /**
     * Creates a filter that sets the limits on the responses of each new connection of a client.
     *
     * @param limits the limits
     * @return the filter
     */
    public static ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection> forResponses(
            MessageLimits limits) {
        return ConnectionFilters.onConnect(c -> install(c.pipeline(), limits, MessageSizeLimit::close));
    }

    /**
     * Sets the limits on a connection.
     *
     * @param pipeline the handlers of the connection, of which the last one receives the decoded parts of messages
     * @param limits the limits
     * @param rejection called once, when a message exceeds a limit
     */
    public static void install(ChannelPipeline pipeline, MessageLimits limits, Rejection rejection) {
        MessageSizeLimit limit = new MessageSizeLimit(limits, rejection);
        limit.share = limits.buffer().newShare(limit::drop);
        pipeline.addFirst(limit.new ReceivedBytesCounter());
        pipeline.addBefore(pipeline.lastContext().name(), null, limit.new DecodedPartObserver());
    }

    /**
     * Fails the message and closes the connection without a response.
     *
     * @param context the context of a handler that is before the decoder
     * @param part the part of the message that is too long
     * @param problem the description of the excess
     * @param mayRun whether a request of the connection may run
     */
    public static void close(ChannelHandlerContext context, Part part, String problem, boolean mayRun) {
        context.fireExceptionCaught(new TooLongFrameException(problem));
        context.close();
    }

    // Called on the thread of another connection or on that of this one, which may be decoding.
    private void drop() {
        dropped = true;
        firstContext
                .executor()
                .execute(() -> reject(Part.SHARE, "the connection holds more than others and the host has no room"));
    }

    private void reject(Part part, String problem) {
        if (!exceeded) {
            exceeded = true;
            rejection.reject(firstContext, part, problem, !openRequests.isEmpty());
        }
    }

    private void updateShare() {
        long kept = limits.keepsBodies() && !openRequests.isEmpty() ? bodyBytes : 0;
        long bytes =
                undecodedBytes + (long) lines.count() * FIELD_COST_BYTES + openRequestsBytes + lastRequestBytes + kept;
        if (bytes != heldBytes) {
            heldBytes = bytes;
            share.hold(bytes);
        }
    }

    private final class ReceivedBytesCounter extends ChannelInboundHandlerAdapter {

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            firstContext = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (bytes.readableBytes() <= Math.max(SLICE_BYTES, remainingBodyBytes)) {
                decode(context, bytes);
                return;
            }
            while (bytes.readableBytes() > SLICE_BYTES) {
                decode(context, bytes.readRetainedSlice(SLICE_BYTES));
            }
            decode(context, bytes);
        }

        private void decode(ChannelHandlerContext context, ByteBuf bytes) {
            if (exceeded || dropped) {
                bytes.release();
                return;
            }
            if (bytes.readableBytes() > remainingBodyBytes) {
                lines.scan(bytes);
            }
            undecodedBytes += bytes.readableBytes();
            context.fireChannelRead(bytes);
            if (undecodedBytes == 0) {
                lines.partEnded();
            }
            updateShare();
            if (undecodedBytes > limits.sectionBytes()) {
                reject(
                        Part.SECTION,
                        "the header or trailer section is longer than " + limits.sectionBytes() + " bytes");
            } else if (lines.count() > limits.sectionLines()) {
                reject(Part.SECTION, "the header or trailer section has more than " + limits.sectionLines() + " lines");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            exceeded = true;
            share.hold(0);
            context.fireChannelInactive();
        }
    }

    private final class DecodedPartObserver extends ChannelDuplexHandler {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            undecodedBytes = 0;
            if (message instanceof HttpMetaData m) {
                beginMessage(m);
            } else if (message instanceof Buffer part) {
                bodyBytes += part.readableBytes();
                remainingBodyBytes = Math.max(0, remainingBodyBytes - part.readableBytes());
            } else {
                remainingBodyBytes = 0;
            }
            if (exceeded) {
                ReferenceCountUtil.release(message);
            } else if (bodyBytes > limits.bodyBytes()) {
                reject(Part.BODY, "the body is longer than " + limits.bodyBytes() + " bytes");
            } else {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpResponseMetaData && !openRequests.isEmpty()) {
                long cost = openRequests.remove();
                openRequestsBytes -= cost;
                lastRequestBytes = Math.max(0, cost - ORDINARY_REQUEST_BYTES);
                updateShare();
            }
            context.write(message, promise);
        }

        private void beginMessage(HttpMetaData m) {
            bodyBytes = 0;
            CharSequence length = m.headers().get("content-length");
            remainingBodyBytes = length == null ? 0 : parseLength(length);
            if (m instanceof HttpRequestMetaData) {
                long cost = MESSAGE_COST_BYTES + (long) m.headers().size() * FIELD_COST_BYTES;
                openRequests.add(cost);
                openRequestsBytes += cost;
                lastRequestBytes = 0;
            }
        }

        // The decoder refuses an invalid length itself.
        private static long parseLength(CharSequence length) {
            try {
                return Math.max(0, Long.parseLong(length, 0, length.length(), 10));
            } catch (NumberFormatException e) {
                return 0;
            }
        }
    }
}
