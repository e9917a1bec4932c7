package io.fuchsiastand.http;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.servicetalk.client.api.ConnectionFactory;
import io.servicetalk.client.api.ConnectionFactoryFilter;
import io.servicetalk.client.api.DelegatingConnectionFactory;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.transport.api.ExecutionStrategy;
import io.servicetalk.transport.api.TransportObserver;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/** Filters for the connections of HTTP clients. */
public final class ConnectionFilters {

    private ConnectionFilters() {}

    /**
     * Creates a filter that changes the channel of each new connection before the first request.
     *
     * @param action changes the channel, on its event loop
     * @return the filter
     */
    public static ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection> onConnect(
            Consumer<Channel> action) {
        return ConnectionFactoryFilter.withStrategy(
                f -> new ActingConnectionFactory(f, action), ExecutionStrategy.offloadNone());
    }

    private static final class ActingConnectionFactory
            extends DelegatingConnectionFactory<InetSocketAddress, FilterableStreamingHttpConnection> {

        private final Consumer<Channel> action;

        private ActingConnectionFactory(
                ConnectionFactory<InetSocketAddress, FilterableStreamingHttpConnection> delegate,
                Consumer<Channel> action) {
            super(delegate);
            this.action = action;
        }

        @Override
        public Single<FilterableStreamingHttpConnection> newConnection(
                InetSocketAddress address, ContextMap context, TransportObserver observer) {
            return delegate().newConnection(address, context, observer).map(c -> {
                if (c.connectionContext() instanceof NettyConnectionContext n) {
                    action.accept(n.nettyChannel());
                }
                return c;
            });
        }
    }
}
