package io.fuchsiastand.daemon.http;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.fuchsiastand.http.ConnectionFilters;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.servicetalk.client.api.ConnectionFactoryFilter;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;

/**
 * Sets socket options with which the operating system closes connections whose other side is silently unreachable, that is,
 * without a reset. Sent data must be acknowledged within {@link #TCP_USER_TIMEOUT} (RFC 5482). Connections on which a
 * response may take long also send keep-alive probes (RFC 9293, section 3.8.4). Without the native epoll transport, only the
 * timeouts of calls detect such connections.
 */
public final class DeadConnectionDetection {

    /**
     * Time within which sent data must be acknowledged. It covers the first retransmissions between hosts of a region. Linux
     * waits at least 200 ms for the first and twice as long for each further one.
     */
    public static final Duration TCP_USER_TIMEOUT = Duration.ofMillis(1200);

    private static final int PROBE_INTERVAL_SECONDS = 1;
    private static final int MAX_UNANSWERED_PROBES = 2;

    private DeadConnectionDetection() {}

    /**
     * Creates a filter for clients whose calls have a timeout of their own.
     *
     * @return the filter
     */
    public static ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection> forCalls() {
        return ConnectionFilters.onConnect(c -> setOptions(c, false));
    }

    /**
     * Creates a filter for clients whose calls may wait for a response for a long time.
     *
     * @return the filter
     */
    public static ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection> forWatches() {
        return ConnectionFilters.onConnect(c -> setOptions(c, true));
    }

    private static void setOptions(Channel channel, boolean sendProbes) {
        if (channel instanceof EpollSocketChannel c) {
            c.config().setOption(EpollChannelOption.TCP_USER_TIMEOUT, (int) TCP_USER_TIMEOUT.toMillis());
            if (sendProbes) {
                c.config().setOption(EpollChannelOption.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS);
                c.config().setOption(EpollChannelOption.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS);
                c.config().setOption(EpollChannelOption.TCP_KEEPCNT, MAX_UNANSWERED_PROBES);
                c.config().setOption(ChannelOption.SO_KEEPALIVE, true);
            }
        }
    }
}
