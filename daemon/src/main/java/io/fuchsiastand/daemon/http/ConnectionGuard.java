package io.fuchsiastand.daemon.http;

import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.fuchsiastand.config.RequestLimits;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.time.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import org.tinylog.Logger;

/**
 * Enforces the header timeout and the idle timeout of the configuration on a caller's connection. The guard closes a
 * connection that stays idle, also while the rest of a request body is missing after the response. It sends status 408 and
 * closes the connection when the header fields of a request take too long to arrive, status 431 when they are far larger than
 * the configuration allows, and status 400 when a request has both Content-Length and Transfer-Encoding. It does not check header fields that arrive before the previous request and its
 * response are complete. The guard runs on the event loop of the connection.
 */
public final class ConnectionGuard extends ChannelDuplexHandler {

    private enum Phase {
        IDLE,
        READING_FIELDS,
        HANDLING,
        // The response is complete, but the request body is still arriving.
        READING_REST_OF_BODY,
        ENDED
    }

    // The configured limit does not count separators and line ends, so RequestCheck applies it to the complete fields.
    // The guard only bounds the bytes that arrive before they are complete.
    private static final long MAX_RAW_SIZE_FACTOR = 2;

    // A connection that has been idle for less than this may still have the end of a response to write.
    private static final Duration MIN_IDLE_TIME_TO_CLOSE = Duration.ofMillis(20);

    private final Supplier<RequestLimits> limits;
    private final Clock clock;
    private final FramingFieldScanner framingScanner = new FramingFieldScanner();
    // Written on the event loop only.
    private volatile Phase phase = Phase.IDLE;
    // Clock time from which the timeout of the current phase counts: the start of the phase or, in
    // READING_REST_OF_BODY, the arrival of the latest bytes.
    private volatile long timeoutStartNanos;
    private boolean bodyIncomplete;
    private boolean responseStarted;
    private boolean headerTimeoutScheduled;
    // The latest scheduled checks. A check keeps the connection reachable, and with it the last request and its body.
    private Future<?> idleCheck;
    private Future<?> headerCheck;

    ConnectionGuard(Supplier<RequestLimits> limits, Clock clock) {
        this.limits = limits;
        this.clock = clock;
        timeoutStartNanos = clock.nanoTime();
    }

    /**
     * Adds a guard to a connection that was just accepted.
     *
     * @param connection the connection
     * @param limits supplies the limits in force
     * @param clock the clock
     * @param connections the open connections, to which the connection is added
     */
    static void install(
            ConnectionInfo connection, Supplier<RequestLimits> limits, Clock clock, CallerConnections connections) {
        if (connection instanceof NettyConnectionContext c) {
            c.nettyChannel().pipeline().addFirst(new ConnectionGuard(limits, clock));
            connections.add(c.nettyChannel());
        }
    }

    /**
     * Closes a connection because the daemon ends. Sends status 502 first if no response to the current request has been
     * started. A connection with an incomplete response stays open.
     *
     * @param channel the channel of the connection
     */
    static void closeAtEnd(Channel channel) {
        channel.eventLoop().execute(() -> {
            ChannelHandlerContext context = channel.pipeline().context(ConnectionGuard.class);
            if (context != null) {
                ((ConnectionGuard) context.handler()).closeAtEnd(context);
            }
        });
    }

    /**
     * Closes a connection because there are too many, unless its request is handled by now and its response has begun. A
     * request that has begun to arrive gets status 502.
     *
     * @param channel the channel of the connection
     */
    static void closeForRoom(Channel channel) {
        channel.eventLoop().execute(() -> {
            ChannelHandlerContext context = channel.pipeline().context(ConnectionGuard.class);
            if (context != null) {
                ((ConnectionGuard) context.handler()).closeForRoom(context);
            }
        });
    }

    /**
     * Records that the daemon begins to handle a request, whose header fields are complete.
     *
     * @param connection the connection of the request
     * @param hasBody whether a body follows the header fields
     */
    public static void beginRequest(ConnectionInfo connection, boolean hasBody) {
        runOnGuard(connection, g -> g.beginRequest(hasBody));
    }

    /**
     * Records that the body of a request has arrived completely.
     *
     * @param connection the connection of the request
     */
    public static void endRequestBody(ConnectionInfo connection) {
        runOnGuard(connection, ConnectionGuard::endRequestBody);
    }

    /**
     * Records that the response to a request is complete.
     *
     * @param connection the connection of the request
     */
    public static void endResponse(ConnectionInfo connection) {
        runOnGuard(connection, ConnectionGuard::endResponse);
    }

    private static void runOnGuard(ConnectionInfo connection, Consumer<ConnectionGuard> action) {
        if (connection instanceof NettyConnectionContext c) {
            Channel channel = c.nettyChannel();
            ConnectionGuard guard = channel.pipeline().get(ConnectionGuard.class);
            if (guard == null) {
                return;
            }
            if (channel.eventLoop().inEventLoop()) {
                action.accept(guard);
            } else {
                channel.eventLoop().execute(() -> action.accept(guard));
            }
        }
    }

    void beginRequest(boolean hasBody) {
        bodyIncomplete = hasBody;
        responseStarted = false;
        enterPhase(Phase.HANDLING);
    }

    void endRequestBody() {
        bodyIncomplete = false;
        if (phase == Phase.READING_REST_OF_BODY) {
            enterPhase(Phase.IDLE);
        }
    }

    void endResponse() {
        enterPhase(bodyIncomplete ? Phase.READING_REST_OF_BODY : Phase.IDLE);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        scheduleIdleCheck(context, limits.get().idleTimeout());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (phase == Phase.IDLE) {
            enterPhase(Phase.READING_FIELDS);
            framingScanner.reset();
            headerTimeoutScheduled = false;
        } else if (phase == Phase.READING_REST_OF_BODY) {
            timeoutStartNanos = clock.nanoTime();
        }
        if (phase == Phase.READING_FIELDS) {
            framingScanner.scan(bytes);
            if (framingScanner.isAmbiguous()) {
                rejectAndClose(
                        context, ErrorCode.BAD_REQUEST, "the request has both Content-Length and Transfer-Encoding");
            } else if (framingScanner.length()
                    > MAX_RAW_SIZE_FACTOR * limits.get().headerBytes()) {
                rejectAndClose(
                        context,
                        ErrorCode.FIELDS_TOO_LARGE,
                        "the header fields have more than " + limits.get().headerBytes() + " bytes");
            }
        }
        if (phase == Phase.ENDED) {
            bytes.release();
        } else {
            context.fireChannelRead(bytes);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (phase == Phase.ENDED) {
            // The guard has sent the last response of the connection.
            ReferenceCountUtil.release(message);
            promise.setFailure(new ClosedChannelException());
            return;
        }
        responseStarted = true;
        context.write(message, promise);
    }

    // Schedules the header timeout only if the header fields are incomplete after the first read. Most requests arrive
    // in one piece and need no timer.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.fireChannelReadComplete();
        if (phase == Phase.READING_FIELDS && !headerTimeoutScheduled) {
            headerTimeoutScheduled = true;
            long requestStartNanos = timeoutStartNanos;
            long timeoutNanos = limits.get().headerTimeout().toNanos();
            cancelChecks(headerCheck);
            headerCheck = context.executor()
                    .schedule(() -> checkHeaderTimeout(context, requestStartNanos), timeoutNanos, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelChecks(idleCheck, headerCheck);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        cancelChecks(idleCheck, headerCheck);
    }

    private static void cancelChecks(Future<?>... checks) {
        for (Future<?> c : checks) {
            if (c != null) {
                c.cancel(false);
            }
        }
    }

    private void enterPhase(Phase next) {
        if (phase != Phase.ENDED) {
            phase = next;
            timeoutStartNanos = clock.nanoTime();
        }
    }

    private void checkHeaderTimeout(ChannelHandlerContext context, long requestStartNanos) {
        if (phase == Phase.READING_FIELDS && timeoutStartNanos == requestStartNanos) {
            rejectAndClose(
                    context,
                    ErrorCode.FIELDS_TOO_SLOW,
                    "the header fields took more than "
                            + limits.get().headerTimeout().toMillis() + " ms");
        }
    }

    /** Returns whether no request is handled. May be called on any thread. */
    boolean isUnused() {
        return phase == Phase.IDLE || phase == Phase.READING_FIELDS;
    }

    /** Returns the time at which the current phase began. May be called on any thread. */
    long unusedSinceNanos() {
        return timeoutStartNanos;
    }

    private void closeForRoom(ChannelHandlerContext context) {
        if (phase == Phase.IDLE) {
            Logger.info(
                    "{} closing the idle connection of the caller {}: too many connections",
                    ErrorCode.OVERLOADED.code(),
                    context.channel().remoteAddress());
            closeAtEnd(context);
        } else if (phase == Phase.READING_FIELDS) {
            tryRespondAndClose(context, ErrorCode.OVERLOADED, "the daemon has too many connections", true);
        }
    }

    private void closeAtEnd(ChannelHandlerContext context) {
        if (phase == Phase.HANDLING) {
            if (!responseStarted) {
                respondAndClose(context, ErrorCode.STOPPED, ErrorCode.STOPPED.title(), HeaderNames.UNKNOWN);
            }
        } else if (phase == Phase.IDLE && clock.nanoTime() - timeoutStartNanos < MIN_IDLE_TIME_TO_CLOSE.toNanos()) {
            context.executor()
                    .schedule(() -> closeAtEnd(context), MIN_IDLE_TIME_TO_CLOSE.toNanos(), TimeUnit.NANOSECONDS);
        } else if (phase != Phase.ENDED) {
            enterPhase(Phase.ENDED);
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void rejectAndClose(ChannelHandlerContext context, ErrorCode code, String detail) {
        respondAndClose(context, code, detail, HeaderNames.NOT_RUN);
    }

    /**
     * Responds to the current request and closes the connection, unless there is no request or its response has begun. A
     * request whose header fields are incomplete has not run; any other one may have.
     *
     * @param context the context of a handler that is before the decoder
     * @param code the code for a request that has not run
     * @param detail its description
     * @param mayRun whether the header fields are complete
     * @return false if there is nothing to respond to
     */
    boolean tryRespondAndClose(ChannelHandlerContext context, ErrorCode code, String detail, boolean mayRun) {
        if (phase == Phase.READING_FIELDS && !mayRun) {
            rejectAndClose(context, code, detail);
        } else if (phase == Phase.READING_FIELDS || (phase == Phase.HANDLING && !responseStarted)) {
            respondAndClose(context, ErrorCode.DROPPED, detail, HeaderNames.UNKNOWN);
        } else {
            return false;
        }
        if (context.channel().isActive()) {
            // The caller does not read: what it holds is released without the response.
            context.close();
        }
        return true;
    }

    private void respondAndClose(ChannelHandlerContext context, ErrorCode code, String detail, String runState) {
        enterPhase(Phase.ENDED);
        Logger.info(
                "{} closing the connection of the caller {}: {}",
                code.code(),
                context.channel().remoteAddress(),
                detail);
        RequestSizeLimit.respondAndClose(context, code, detail, runState);
    }

    private void scheduleIdleCheck(ChannelHandlerContext context, Duration delay) {
        idleCheck = context.executor().schedule(() -> checkIdle(context), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void checkIdle(ChannelHandlerContext context) {
        if (!context.channel().isActive()) {
            return;
        }
        Duration idleTimeout = limits.get().idleTimeout();
        boolean isIdle = phase == Phase.IDLE || phase == Phase.READING_REST_OF_BODY;
        long remainingNanos =
                isIdle ? idleTimeout.toNanos() - (clock.nanoTime() - timeoutStartNanos) : idleTimeout.toNanos();
        if (remainingNanos <= 0) {
            enterPhase(Phase.ENDED);
            context.close();
        } else {
            scheduleIdleCheck(context, Duration.ofNanos(remainingNanos));
        }
    }
}
