package io.fuchsiastand.daemon.limit;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.limit.Demand;
import io.fuchsiastand.limit.Grant;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.limit.TeamService;
import io.fuchsiastand.limit.TokenPrefetchCache;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.AcquireReply;
import io.fuchsiastand.protocol.AcquireRequest;
import io.fuchsiastand.protocol.AcquireResult;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Single;

import static io.servicetalk.concurrent.api.Single.defer;
import static io.servicetalk.concurrent.api.Single.fromStage;
import static io.servicetalk.concurrent.api.Single.succeeded;

/**
 * Decides whether a request is within the rate limit of its team. The client first uses its prefetched tokens, or an
 * earlier refusal that is still valid, then the leases of this daemon on the team's shard. Otherwise it asks the holder
 * and then the standby of the shard. If one of them does not answer, the client asks it again through another peer. Used
 * if the daemon has no external configuration source; otherwise {@link TokenController} decides.
 */
public final class LimitClient implements RateLimiter {

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(250);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private final Blackboard board;
    private final Peers peers;
    private final LimitController limits;
    private final TokenPrefetchCache cache = new TokenPrefetchCache();

    /**
     * Creates the client.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param limits the leases of this daemon
     */
    public LimitClient(Blackboard board, Peers peers, LimitController limits) {
        this.board = board;
        this.peers = peers;
        this.limits = limits;
    }

    /**
     * Takes a token for a request. The standby of a shard lends its half to the holder. After the holder stops, no
     * daemon can grant tokens until this loan has expired, about one lending term later; then the standby may use its
     * half itself. Therefore the client does not refuse the request while no daemon can decide, but asks again for up to
     * twice the lending term, if the deadline permits.
     *
     * @param team the name of the team
     * @param allowance the name of the allowance, which applies to one service or to all services together
     * @param deadline monotonic time by which the request must be done, in nanoseconds
     * @param maxTokenWait not used: a request over its rate is refused at once
     * @return the decision; {@link AcquireResult#NO_RIGHT} if no daemon could decide in time
     */
    @Override
    public Single<Grant> acquire(String team, String allowance, long deadline, Duration maxTokenWait) {
        long maxWait =
                board.settings().leaseTerms().lendingTerm().multipliedBy(2).toNanos();
        long end = Math.min(board.clock().nanoTime() + maxWait, deadline - RETRY_DELAY.toNanos());
        return acquireUntil(new TeamService(team, allowance), end);
    }

    private Single<Grant> acquireUntil(TeamService key, long end) {
        return acquireOnce(key).flatMap(g -> {
            boolean undecided = g.result() != AcquireResult.GRANTED && g.result() != AcquireResult.OVER_RATE;
            if (!undecided || board.clock().nanoTime() >= end) {
                return succeeded(g);
            }
            return Executors.global().timer(RETRY_DELAY).concat(defer(() -> acquireUntil(key, end)));
        });
    }

    private Single<Grant> acquireOnce(TeamService key) {
        long now = board.clock().nanoTime();
        switch (cache.take(key, now)) {
            case GRANTED_LOW -> {
                // The client prefetches tokens in the background, so that no request waits for the reply.
                requestDecision(new Demand(key, cache.batchSizeFor(key), true), now)
                        .subscribe(g -> {});
                return succeeded(new Grant(AcquireResult.GRANTED, 0, 0, 0, 0));
            }
            case GRANTED -> {
                return succeeded(new Grant(AcquireResult.GRANTED, 0, 0, 0, 0));
            }
            case REFUSED -> {
                return succeeded(new Grant(AcquireResult.OVER_RATE, 0, 0, cache.retryAfterMillis(key, now), 0));
            }
            default -> {
                return requestDecision(new Demand(key, cache.batchSizeFor(key), false), now);
            }
        }
    }

    /**
     * Answers the acquire request of a peer. If the request names another daemon, this daemon relays the request to it.
     *
     * @param request the request of the peer
     * @return the decision; fails if the other daemon does not answer
     */
    public CompletionStage<AcquireReply> onAcquire(AcquireRequest request) {
        String relayTo = request.getRelayTo();
        if (relayTo.isEmpty() || relayTo.equals(board.settings().host())) {
            TeamService key = new TeamService(request.getTeam(), request.getService());
            return CompletableFuture.completedFuture(toReply(
                    limits.acquire(request.getShard(), new Demand(key, request.getBatch(), request.getAhead()))));
        }
        Optional<Member> m = board.members().find(relayTo);
        if (m.isEmpty()) {
            return CompletableFuture.completedFuture(toReply(Grant.NOT_HOLDER));
        }
        return send(m.get(), request.toBuilder().clearRelayTo().build());
    }

    private Single<Grant> requestDecision(Demand demand, long sentAt) {
        TeamService key = demand.key();
        int shard = limits.shardOf(key.team());
        ShardEntry entry = shard < 0 ? null : limits.entry(shard).orElse(null);
        if (entry == null) {
            return succeeded(Grant.NO_RIGHT);
        }
        String self = board.settings().host();
        if (entry.includes(self)) {
            Grant own = limits.acquire(shard, demand);
            if (own.result() == AcquireResult.GRANTED || own.result() == AcquireResult.OVER_RATE) {
                cache.storeDecision(key, own, sentAt);
                return succeeded(own);
            }
        }
        AcquireRequest request = AcquireRequest.newBuilder()
                .setFrom(self)
                .setShard(shard)
                .setTeam(key.team())
                .setService(key.service())
                .setBatch(demand.batch())
                .setAhead(demand.prefetchOnly())
                .build();
        List<String> hosts = entry.hosts().stream().filter(h -> !h.equals(self)).toList();
        return fromStage(requestFromEach(hosts, 0, request)).map(g -> {
            cache.storeDecision(key, g, sentAt);
            return g;
        });
    }

    private CompletionStage<Grant> requestFromEach(List<String> hosts, int i, AcquireRequest request) {
        if (i == hosts.size()) {
            return CompletableFuture.completedFuture(Grant.NO_RIGHT);
        }
        return requestFrom(hosts.get(i), request)
                .thenCompose(g -> g.result() == AcquireResult.GRANTED || g.result() == AcquireResult.OVER_RATE
                        ? CompletableFuture.completedFuture(g)
                        : requestFromEach(hosts, i + 1, request));
    }

    private CompletionStage<Grant> requestFrom(String host, AcquireRequest request) {
        Optional<Member> m = board.members().find(host).filter(Member::isReachable);
        if (m.isEmpty()) {
            return CompletableFuture.completedFuture(Grant.NOT_HOLDER);
        }
        return send(m.get(), request)
                .handle((r, e) ->
                        e == null ? CompletableFuture.completedFuture(toGrant(r)) : requestThroughPeer(host, request))
                .thenCompose(f -> f);
    }

    // The connection from this daemon to the host may be broken while another peer can still reach the host.
    private CompletableFuture<Grant> requestThroughPeer(String host, AcquireRequest request) {
        List<Member> intermediaries =
                Membership.rendezvousOrder(request.getTeam(), board.members().intermediaries(host));
        if (intermediaries.isEmpty()) {
            return CompletableFuture.completedFuture(Grant.NOT_HOLDER);
        }
        AcquireRequest relayed = request.toBuilder().setRelayTo(host).build();
        return send(intermediaries.get(0), relayed)
                .handle((r, e) -> e == null ? toGrant(r) : Grant.NOT_HOLDER)
                .toCompletableFuture();
    }

    private CompletionStage<AcquireReply> send(Member m, AcquireRequest request) {
        return peers.<AcquireReply>call(m, CALL_TIMEOUT, (stub, o) -> stub.acquire(request, o));
    }

    private static AcquireReply toReply(Grant g) {
        return AcquireReply.newBuilder()
                .setResult(g.result())
                .setBatch(g.batch())
                .setValidMillis(g.validMillis())
                .setRetryAfterMillis(g.retryAfterMillis())
                .setRemaining(g.remaining())
                .build();
    }

    private static Grant toGrant(AcquireReply r) {
        return new Grant(r.getResult(), r.getBatch(), r.getValidMillis(), r.getRetryAfterMillis(), r.getRemaining());
    }
}
