package io.fuchsiastand.daemon.http;

import javax.net.ssl.SSLException;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.fuchsiastand.config.RequestLimits;
import io.fuchsiastand.daemon.board.MemoryLimits;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.http.LoadBalancing;
import io.fuchsiastand.http.MessageLimits;
import io.fuchsiastand.http.MessageSizeLimit;
import io.fuchsiastand.http.UndelimitedResponses;
import io.fuchsiastand.memory.SharedBuffer;
import io.fuchsiastand.time.Clock;
import io.grpc.BindableService;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.servicetalk.concurrent.api.AsyncContext;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.BlockingHttpService;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpProtocolConfig;
import io.servicetalk.http.api.HttpServerBuilder;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ClientSslConfigBuilder;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServerContext;
import io.servicetalk.transport.api.ServerSslConfigBuilder;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import io.servicetalk.transport.api.SslClientAuthMode;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutors;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

/** Creates the servers and clients of a daemon. They share a few threads and use mutual TLS between daemons. */
public final class Transport implements AutoCloseable {

    private static final int MAX_IO_THREADS = 4;
    private static final int MAX_PEER_MESSAGE_BYTES = 4_000_000;
    // The round trip between hosts of a region takes a few milliseconds. A host that is cut off does not reply at all.
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final int MAX_START_LINE_LENGTH = 8_192;
    private static final int MAX_HEADER_FIELDS_LENGTH = 16_384;
    // Limit of the header section of a message, and of its trailer section.
    private static final int MAX_SECTION_BYTES = 65_536;
    // Limit of a section of a request that is forwarded. The configuration allows callers less.
    private static final int MAX_FORWARDED_SECTION_BYTES = 262_144;
    // Limit of a body that the admin server or the server for announcements keeps in memory.
    private static final int MAX_KEPT_BODY_BYTES = 65_536;
    private static final Duration PEER_IDLE_TIMEOUT = Duration.ofMinutes(5);
    private static final java.util.concurrent.Executor DIRECT_EXECUTOR = Runnable::run;

    // These threads serve health checks, announcements, metrics and operator commands, which may block.
    private static final int BLOCKING_THREADS = 2;

    static {
        // The daemon stores nothing in the asynchronous context, and ServiceTalk would copy it at each step of a call.
        AsyncContext.disable();
    }

    private final IoExecutor ioExecutor;
    private final Executor blockingExecutor = Executors.newFixedSizeExecutor(BLOCKING_THREADS);
    // Control traffic shares the threads of the data path, so that a decision about a request needs no context switch.
    private final EventLoopGroup eventLoops;
    private final boolean epoll;
    private final Optional<Settings.Tls> tls;
    private final int maxHeaderFields;
    private final SharedBuffer buffer;
    private final ResponseReadAhead readAhead;

    /**
     * Creates the transport of a daemon with the default limits.
     *
     * @param tls the files for mutual TLS between daemons, or empty for unencrypted traffic
     */
    public Transport(Optional<Settings.Tls> tls) {
        this(tls, MemoryLimits.DEFAULT);
    }

    /**
     * Creates the transport of a daemon.
     *
     * @param tls the files for mutual TLS between daemons, or empty for unencrypted traffic
     * @param limits the limits on what connections hold in memory
     */
    public Transport(Optional<Settings.Tls> tls, MemoryLimits limits) {
        this.tls = tls;
        maxHeaderFields = limits.headerFields();
        buffer = new SharedBuffer(limits.unfinishedBytes());
        int threads = Math.max(1, Math.min(MAX_IO_THREADS, Runtime.getRuntime().availableProcessors() / 2));
        ioExecutor = NettyIoExecutors.createIoExecutor(threads, "io");
        eventLoops = EventLoopAwareNettyIoExecutors.toEventLoopAwareNettyIoExecutor(ioExecutor)
                .eventLoopGroup();
        epoll = eventLoops instanceof EpollEventLoopGroup;
        readAhead = new ResponseReadAhead(buffer, ioExecutor, limits.maxUnread());
    }

    /**
     * Starts the server for callers.
     *
     * @param port the port, or 0 for any free port
     * @param service handles requests
     * @param limits supplies the limits in force, of which the server uses the header timeout and the idle timeout
     * @param clock the clock
     * @param connections receives the connections that the server accepts
     * @return the running server
     */
    public ServerContext callerServer(
            int port,
            StreamingHttpService service,
            Supplier<RequestLimits> limits,
            Clock clock,
            CallerConnections connections) {
        HttpServerBuilder b = server(port).appendLateConnectionAcceptor(c -> {
            ConnectionGuard.install(c, limits, clock, connections);
            RequestSizeLimit.installForCallers(c, messageLimits(MAX_FORWARDED_SECTION_BYTES));
            return Completable.completed();
        });
        return listen(b, port, service);
    }

    /**
     * Starts the server for calls that other daemons forward.
     *
     * @param port the port, or 0 for any free port
     * @param service handles requests
     * @return the running server
     */
    public ServerContext dataServer(int port, StreamingHttpService service) {
        HttpServerBuilder b = server(port).appendLateConnectionAcceptor(c -> {
            RequestSizeLimit.installForForwarding(c, messageLimits(MAX_FORWARDED_SECTION_BYTES));
            return Completable.completed();
        });
        tls.ifPresent(t -> b.sslConfig(new ServerSslConfigBuilder(() -> open(t.certificate()), () -> open(t.key()))
                .trustManager(() -> open(t.authority()))
                .clientAuthMode(SslClientAuthMode.REQUIRE)
                .build()));
        return listen(b, port, service);
    }

    /**
     * Starts a server without TLS on a free port of the loopback address, for the warm-up.
     *
     * @param service handles requests
     * @return the running server
     */
    public ServerContext plainServer(StreamingHttpService service) {
        return listen(
                HttpServers.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .ioExecutor(ioExecutor)
                        .executionStrategy(HttpExecutionStrategies.offloadNone()),
                0,
                service);
    }

    /**
     * Starts a server whose service may block: the admin server, or the server for readiness checks or announcements. It
     * keeps requests in memory, and answers longer ones than 64 KiB with status 413 or 431 and closes the connection.
     *
     * @param port the port
     * @param service handles requests, on threads that may block
     * @return the running server
     */
    public ServerContext blockingServer(int port, BlockingHttpService service) {
        try {
            return HttpServers.forAddress(new InetSocketAddress(port))
                    .ioExecutor(ioExecutor)
                    .executor(blockingExecutor)
                    .appendLateConnectionAcceptor(c -> {
                        RequestSizeLimit.install(
                                c,
                                new MessageLimits(
                                        MAX_SECTION_BYTES, maxHeaderFields, MAX_KEPT_BODY_BYTES, true, buffer));
                        return Completable.completed();
                    })
                    .listenBlockingAndAwait(service);
        } catch (Exception e) {
            throw cannotListen(port, e);
        }
    }

    /**
     * Starts the server for control traffic between daemons.
     *
     * @param port the port, or 0 for any free port
     * @param service handles calls
     * @return the running server
     */
    public Server peerServer(int port, BindableService service) {
        NettyServerBuilder b = NettyServerBuilder.forAddress(new InetSocketAddress(port))
                .bossEventLoopGroup(eventLoops)
                .workerEventLoopGroup(eventLoops)
                .channelType(epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class)
                .maxInboundMessageSize(MAX_PEER_MESSAGE_BYTES)
                .executor(DIRECT_EXECUTOR)
                .addService(service)
                .addService(PeerStreamServer.streaming(service.bindService()));
        try {
            if (tls.isPresent()) {
                Settings.Tls t = tls.get();
                SslContextBuilder ssl = SslContextBuilder.forServer(
                        t.certificate().toFile(), t.key().toFile());
                b.sslContext(GrpcSslContexts.configure(ssl)
                        .trustManager(t.authority().toFile())
                        .clientAuth(ClientAuth.REQUIRE)
                        .build());
            }
            return b.build().start();
        } catch (IOException e) {
            throw cannotListen(port, e);
        }
    }

    /**
     * Creates a gRPC channel to a peer.
     *
     * @param address the IP address of the peer
     * @param port its peer port
     * @return the channel, which connects on first use
     */
    public ManagedChannel peerChannel(String address, int port) {
        NettyChannelBuilder b = NettyChannelBuilder.forAddress(new InetSocketAddress(address, port))
                .eventLoopGroup(eventLoops)
                .channelType(epoll ? EpollSocketChannel.class : NioSocketChannel.class)
                .executor(DIRECT_EXECUTOR)
                .maxInboundMessageSize(MAX_PEER_MESSAGE_BYTES)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .idleTimeout(PEER_IDLE_TIMEOUT.toMinutes(), TimeUnit.MINUTES);
        if (epoll) {
            b.withOption(
                    EpollChannelOption.TCP_USER_TIMEOUT, (int) DeadConnectionDetection.TCP_USER_TIMEOUT.toMillis());
        }
        if (tls.isEmpty()) {
            return b.usePlaintext().build();
        }
        return b.sslContext(clientContext(tls.get())).build();
    }

    /**
     * Creates a client for calls that are forwarded to another daemon.
     *
     * @param address the IP address of the daemon
     * @param port its data port
     * @return a client with pooled connections
     */
    public StreamingHttpClient dataClient(String address, int port) {
        SingleAddressHttpClientBuilder<InetSocketAddress, InetSocketAddress> b = client(address, port);
        tls.ifPresent(t -> b.sslConfig(new ClientSslConfigBuilder(() -> open(t.authority()))
                .keyManager(() -> open(t.certificate()), () -> open(t.key()))
                .build()));
        return b.buildStreaming();
    }

    /**
     * Creates a client for a backend server of this host.
     *
     * @param address the IP address of the backend server
     * @param port its port
     * @return a client with pooled connections
     */
    public StreamingHttpClient backendClient(String address, int port) {
        return client(address, port).buildStreaming();
    }

    /**
     * Returns the memory that the connections share.
     *
     * @return the buffer for messages that are not complete
     */
    public SharedBuffer buffer() {
        return buffer;
    }

    /**
     * Returns the read-ahead of responses.
     *
     * @return what reads responses ahead of slow readers
     */
    public ResponseReadAhead readAhead() {
        return readAhead;
    }

    /**
     * Returns the timer for calls, which runs on the I/O threads.
     *
     * @return an executor that runs tasks after a delay
     */
    public Executor timer() {
        return ioExecutor;
    }

    @Override
    public void close() {
        blockingExecutor.closeAsync().subscribe();
        ioExecutor.closeAsync().subscribe();
    }

    private SingleAddressHttpClientBuilder<InetSocketAddress, InetSocketAddress> client(String address, int port) {
        return HttpClients.forResolvedAddress(new InetSocketAddress(address, port))
                .loadBalancerFactory(LoadBalancing.withoutHealthChecks("calls"))
                .ioExecutor(ioExecutor)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .protocols(http1())
                .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
                .appendConnectionFactoryFilter(DeadConnectionDetection.forCalls())
                .appendConnectionFactoryFilter(MessageSizeLimit.forResponses(messageLimits(MAX_SECTION_BYTES)))
                .appendConnectionFactoryFilter(UndelimitedResponses.passingOn())
                .hostHeaderFallback(false)
                // The daemon decides which calls are retried.
                .appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries());
    }

    private MessageLimits messageLimits(int maxSectionBytes) {
        return new MessageLimits(maxSectionBytes, maxHeaderFields, MessageSizeLimit.UNLIMITED, false, buffer);
    }

    private HttpServerBuilder server(int port) {
        return HttpServers.forAddress(new InetSocketAddress(port))
                .ioExecutor(ioExecutor)
                .protocols(http1())
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .appendLateConnectionAcceptor(c -> {
                    if (c instanceof NettyConnectionContext n) {
                        LateWriteFlush.install(n.nettyChannel());
                    }
                    return Completable.completed();
                });
    }

    private static HttpProtocolConfig http1() {
        return HttpProtocolConfigs.h1()
                .maxStartLineLength(MAX_START_LINE_LENGTH)
                .maxHeaderFieldLength(MAX_HEADER_FIELDS_LENGTH)
                .build();
    }

    private static ServerContext listen(HttpServerBuilder b, int port, StreamingHttpService service) {
        try {
            return b.listenStreamingAndAwait(service);
        } catch (Exception e) {
            throw cannotListen(port, e);
        }
    }

    private static FuchsiastandException cannotListen(int port, Exception e) {
        return new FuchsiastandException(
                ErrorCode.PORT_IN_USE, "cannot listen on port " + port + ": " + e.getMessage(), e);
    }

    private static SslContext clientContext(Settings.Tls t) {
        try {
            return GrpcSslContexts.forClient()
                    .trustManager(t.authority().toFile())
                    .keyManager(t.certificate().toFile(), t.key().toFile())
                    .build();
        } catch (SSLException e) {
            throw new FuchsiastandException(ErrorCode.SETTINGS, "cannot use the TLS files", e);
        }
    }

    private static InputStream open(Path file) {
        try {
            return Files.newInputStream(file);
        } catch (IOException e) {
            throw new FuchsiastandException(ErrorCode.SETTINGS, "cannot read the file " + file, e);
        }
    }
}
