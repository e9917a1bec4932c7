package io.fuchsiastand.http;

import java.net.InetSocketAddress;

import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;

/** Load balancers of HTTP clients. */
public final class LoadBalancing {

    private static final int NEVER = -1;

    private LoadBalancing() {}

    /**
     * Creates a load balancer that never takes an address for unhealthy. With the default one, a client whose only address
     * has refused some connections fails its calls without a connection attempt until a check, once every few seconds, has
     * succeeded.
     *
     * @param name the name of the load balancer in messages
     * @return the factory of the load balancer
     */
    public static HttpLoadBalancerFactory<InetSocketAddress> withoutHealthChecks(String name) {
        return DefaultHttpLoadBalancerFactory.Builder.from(
                        RoundRobinLoadBalancers
                                .<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder(name)
                                .healthCheckFailedConnectionsThreshold(NEVER)
                                .build())
                .build();
    }
}
