package io.fuchsiastand.daemon.metrics;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * The meters of a daemon, with a latency histogram for each team and service. The number of teams with meters of their own is
 * limited; the calls of further teams are recorded under one common tag.
 */
public final class Metrics {

    private static final int MAX_TEAMS = 200;
    private static final int MAX_PRIORITY = 9;
    private static final String OTHER_TEAMS = "other";
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(1),
        Duration.ofMillis(2),
        Duration.ofMillis(5),
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<CallTags, Timer> timers = new ConcurrentHashMap<>();
    private final Map<RefusalTags, Counter> refusals = new ConcurrentHashMap<>();
    private final Map<QueueTags, Counter> queueRefusals = new ConcurrentHashMap<>();
    private final Map<Integer, Timer> queueWaits = new ConcurrentHashMap<>();
    private final Map<PeerTags, Counter> peerBytes = new ConcurrentHashMap<>();
    private final Map<MultiGauge, Supplier<Map<String, Double>>> gaugesByService = new ConcurrentHashMap<>();
    private final Counter retries = registry.counter("fuchsiastand_retries");
    private final Counter retriesOverBudget = registry.counter("fuchsiastand_retries_over_budget");
    private final Set<String> teams = ConcurrentHashMap.newKeySet();

    private record CallTags(String team, String service) {}

    private record RefusalTags(String team, String code) {}

    private record QueueTags(int priority, String code) {}

    private record PeerTags(String kind, String dataCentre) {}

    /**
     * Records the latency of a call that ended with a response from a backend server, or with a response in which another
     * daemon refused the call or reported its failure.
     *
     * @param team the team, or an empty string on open routes
     * @param service the service
     * @param nanos the time from when the dispatcher has the request, with its buffered body, to the head of the response, in
     *     nanoseconds
     */
    public void recordCall(String team, String service, long nanos) {
        timers.computeIfAbsent(new CallTags(teamTag(team), service), this::timer)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records a response by which this daemon refused a call or reported its failure.
     *
     * @param team the team, or an empty string if it is unknown
     * @param code the error code of the response
     */
    public void recordRefusal(String team, String code) {
        refusals.computeIfAbsent(
                        new RefusalTags(teamTag(team), code),
                        k -> registry.counter("fuchsiastand_refusals", "team", k.team(), "code", k.code()))
                .increment();
    }

    /**
     * Records a call that got no slot of a backend server of this host.
     *
     * @param priority the priority of the call; those from {@value #MAX_PRIORITY} on are recorded as one
     * @param code the error code
     */
    public void recordQueueRefusal(int priority, String code) {
        queueRefusals
                .computeIfAbsent(
                        new QueueTags(priorityTag(priority), code),
                        k -> registry.counter(
                                "fuchsiastand_queue_refusals",
                                "priority",
                                Integer.toString(k.priority()),
                                "code",
                                k.code()))
                .increment();
    }

    /**
     * Records the wait of a call that got a slot of a backend server of this host.
     *
     * @param priority the priority of the call; those from {@value #MAX_PRIORITY} on are recorded as one
     * @param nanos the wait in nanoseconds
     */
    public void recordQueueWait(int priority, long nanos) {
        queueWaits
                .computeIfAbsent(priorityTag(priority), k -> Timer.builder("fuchsiastand_queue_wait")
                        .description("Time from the arrival of a call at the owner to its slot")
                        .tag("priority", Integer.toString(k))
                        .serviceLevelObjectives(LATENCY_BUCKETS)
                        .register(registry))
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    private static int priorityTag(int priority) {
        return Math.max(-1, Math.min(MAX_PRIORITY, priority));
    }

    /**
     * Records a request that its owner refused before it started, because a service that it would call has no room.
     *
     * @param service the service of the request
     */
    public void recordRefusedBeforeStart(String service) {
        registry.counter("fuchsiastand_refused_before_start", "service", service)
                .increment();
    }

    /** Records a further attempt of a request, also after an attempt that reached no backend server. */
    public void recordRetry() {
        retries.increment();
    }

    /** Records a request that was not sent again only because the retry budget was used up. */
    public void recordRetryOverBudget() {
        retriesOverBudget.increment();
    }

    /**
     * Records the bytes of a control message of a call that this daemon has started.
     *
     * @param kind the name of the method
     * @param dataCentre {@code same} or {@code other}, or {@code unknown} for a seed that is no member yet
     * @param bytes the bytes of the request or of the reply
     */
    public void recordPeerBytes(String kind, String dataCentre, long bytes) {
        peerBytes
                .computeIfAbsent(
                        new PeerTags(kind, dataCentre),
                        k -> registry.counter(
                                "fuchsiastand_peer_bytes", "kind", k.kind(), "data_centre", k.dataCentre()))
                .increment(bytes);
    }

    /**
     * Registers the share of the calls of a service that this daemon keeps in its data centre.
     *
     * @param service the service
     * @param share supplies the share, 0 to 1
     */
    public void registerShareKept(String service, Supplier<Number> share) {
        Gauge.builder("fuchsiastand_share_kept_local", share)
                .tag("service", service)
                .register(registry);
    }

    /**
     * Registers a gauge.
     *
     * @param name the name of the gauge
     * @param value supplies the value of the gauge
     */
    public void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /**
     * Registers a gauge with a value for each service. The services may change.
     *
     * @param name the name of the gauge
     * @param values supplies the values by the name of the service
     */
    public void registerGaugeByService(String name, Supplier<Map<String, Double>> values) {
        gaugesByService.put(MultiGauge.builder(name).register(registry), values);
    }

    /**
     * Registers a counter that is kept elsewhere.
     *
     * @param name the name of the counter
     * @param value supplies the count since the start
     */
    public void registerCounter(String name, Supplier<Number> value) {
        FunctionCounter.builder(name, value, v -> v.get().doubleValue()).register(registry);
    }

    /**
     * Returns the values of all meters.
     *
     * @return the values in the text format of Prometheus
     */
    public String scrape() {
        gaugesByService.forEach((gauge, values) -> gauge.register(
                values.get().entrySet().stream()
                        .map(e -> MultiGauge.Row.of(Tags.of("service", e.getKey()), e.getValue()))
                        .toList(),
                true));
        return registry.scrape();
    }

    private Timer timer(CallTags c) {
        return Timer.builder("fuchsiastand_calls")
                .description("Time from a request to the head of its answer")
                .tags("team", c.team(), "service", c.service())
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry);
    }

    private String teamTag(String team) {
        if (teams.contains(team)) {
            return team;
        }
        if (teams.size() >= MAX_TEAMS) {
            return OTHER_TEAMS;
        }
        teams.add(team);
        return team;
    }
}
