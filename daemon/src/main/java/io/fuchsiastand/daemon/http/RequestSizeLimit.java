package io.fuchsiastand.daemon.http;

import java.nio.charset.StandardCharsets;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.http.MessageLimits;
import io.fuchsiastand.http.MessageSizeLimit;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import org.tinylog.Logger;

/** Limits the size of requests, or of those parts of them that a server keeps in memory. */
final class RequestSizeLimit {

    private RequestSizeLimit() {}

    /**
     * Sets the limits on a connection that was just accepted and whose requests are kept in memory. A request that exceeds a
     * limit gets status 413 or 431, and the connection is closed.
     *
     * @param connection the connection
     * @param limits the limits
     */
    static void install(ConnectionInfo connection, MessageLimits limits) {
        if (connection instanceof NettyConnectionContext c) {
            MessageSizeLimit.install(c.nettyChannel().pipeline(), limits, RequestSizeLimit::reject);
        }
    }

    /**
     * Sets the limit on a connection that was just accepted and whose requests are forwarded part by part. If a request exceeds
     * the limit, the connection is closed without a response: the request may run, and its response may have begun.
     *
     * @param connection the connection
     * @param limits the limits
     */
    static void installForForwarding(ConnectionInfo connection, MessageLimits limits) {
        if (connection instanceof NettyConnectionContext c) {
            MessageSizeLimit.install(c.nettyChannel().pipeline(), limits, RequestSizeLimit::close);
        }
    }

    /**
     * Sets the limit on a connection of a caller, whose requests are forwarded part by part. {@link ConnectionGuard} answers
     * what can be answered before it closes the connection.
     *
     * @param connection the connection, which has a guard
     * @param limits the limits
     */
    static void installForCallers(ConnectionInfo connection, MessageLimits limits) {
        if (connection instanceof NettyConnectionContext c) {
            MessageSizeLimit.install(c.nettyChannel().pipeline(), limits, (context, part, problem, mayRun) -> {
                ConnectionGuard guard = context.pipeline().get(ConnectionGuard.class);
                if (!guard.tryRespondAndClose(context, codeOf(part), problem, mayRun)) {
                    close(context, part, problem, mayRun);
                }
            });
        }
    }

    private static void close(
            ChannelHandlerContext context, MessageSizeLimit.Part part, String problem, boolean mayRun) {
        Logger.info(
                "{} closing the connection of {}: {}",
                codeOf(part).code(),
                context.channel().remoteAddress(),
                problem);
        MessageSizeLimit.close(context, part, problem, mayRun);
    }

    private static ErrorCode codeOf(MessageSizeLimit.Part part) {
        return switch (part) {
            case BODY -> ErrorCode.BODY_TOO_LARGE;
            case SECTION -> ErrorCode.FIELDS_TOO_LARGE;
            case SHARE -> ErrorCode.OVERLOADED;
        };
    }

    private static void reject(
            ChannelHandlerContext context, MessageSizeLimit.Part part, String problem, boolean mayRun) {
        if (part == MessageSizeLimit.Part.SHARE) {
            // The request may be complete and run.
            close(context, part, problem, mayRun);
            return;
        }
        ErrorCode code = codeOf(part);
        Logger.info(
                "{} closing the connection of {}: {}",
                code.code(),
                context.channel().remoteAddress(),
                problem);
        respondAndClose(context, code, problem, HeaderNames.NOT_RUN);
    }

    /**
     * Writes a response directly to the channel, because ServiceTalk has not received a complete request or has no response
     * yet, and closes the connection.
     *
     * @param context the context of a handler that is before the decoder of requests
     * @param code the code of the refusal
     * @param detail its description
     * @param runState whether the request may have run
     */
    static void respondAndClose(ChannelHandlerContext context, ErrorCode code, String detail, String runState) {
        byte[] body = ProblemResponses.body(code, detail, runState);
        String head = "HTTP/1.1 " + code.status() + " \r\n"
                + "content-type: " + ProblemResponses.MEDIA_TYPE + "\r\n"
                + HeaderNames.RUN_STATE + ": " + runState + "\r\n"
                + "connection: close\r\n"
                + "content-length: " + body.length + "\r\n\r\n";
        ByteBuf response = Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), body);
        context.writeAndFlush(response).addListener(f -> context.close());
    }
}
