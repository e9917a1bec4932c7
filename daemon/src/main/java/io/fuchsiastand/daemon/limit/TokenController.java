package io.fuchsiastand.daemon.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.ToDoubleFunction;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.FleetRules;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.key.Digests;
import io.fuchsiastand.limit.DistributedTokenBuckets;
import io.fuchsiastand.limit.Grant;
import io.fuchsiastand.limit.IssueLease;
import io.fuchsiastand.limit.TeamService;
import io.fuchsiastand.limit.TokenAggregators;
import io.fuchsiastand.limit.TokenTransfers;
import io.fuchsiastand.limit.UnusedTokenLimits;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.membership.Membership;
import io.fuchsiastand.protocol.AcquireResult;
import io.fuchsiastand.protocol.GiveReply;
import io.fuchsiastand.protocol.GiveRequest;
import io.fuchsiastand.protocol.TakeReply;
import io.fuchsiastand.protocol.TakeRequest;
import io.fuchsiastand.protocol.TokenGift;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import org.tinylog.Logger;

import static io.servicetalk.concurrent.api.Single.defer;
import static io.servicetalk.concurrent.api.Single.fromStage;
import static io.servicetalk.concurrent.api.Single.succeeded;

/**
 * Transfers tokens between daemons. The teams are divided into token shards, which are not the shards of the shard table.
 * One daemon per token shard is the token aggregator of its teams. This daemon transfers the tokens that its host issues
 * to the aggregators, and for each allowance that a request counts against it takes a token from the aggregator of the
 * team. Each daemon chooses the aggregators from its own view of the members. While these views differ, tokens that a
 * daemon transfers to a host that others do not regard as the aggregator may be lost, but no token is ever duplicated.
 * Used if the daemon has an external configuration source; otherwise {@link LimitClient} decides.
 */
public final class TokenController implements RateLimiter {

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(250);
    // Shorter than the time that the sender of a relayed message waits.
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(150);
    private static final int MAX_CANDIDATES_PER_TOKEN_SHARD = 3;
    // There is one token shard per this many hosts, so that each host of a small fleet sends one transfer, not one per
    // team.
    private static final int HOSTS_PER_TOKEN_SHARD = 64;

    private final Blackboard board;
    private final Peers peers;
    private final Executor timer;
    private final DistributedTokenBuckets buckets;
    private final TokenTransfers transfers;
    private final TokenAggregators aggregators;
    private volatile Map<Integer, Set<TeamService>> allowancesByTokenShard = Map.of();
    // Only tick() uses it.
    private Basis basis;
    private volatile Map<Integer, String> loggedAggregators = Map.of();

    /**
     * Creates the controller.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param timer runs the waits for tokens
     * @param lease the lease under which this host issues tokens
     */
    public TokenController(Blackboard board, Peers peers, Executor timer, IssueLease lease) {
        this.timer = timer;
        this.board = board;
        this.peers = peers;
        aggregators = new TokenAggregators(board.settings().host(), board.clock());
        transfers = new TokenTransfers(board.clock());
        FleetRules r = board.settings().rules();
        buckets = new DistributedTokenBuckets(
                new UnusedTokenLimits(r.quotaWindow(), r.quotaOver(), r.quotaSlack()),
                this::allowance,
                lease::heldSince,
                board.clock());
    }

    /**
     * Sets the share of the tokens of each team that this host issues.
     *
     * @param byTeam the share by the name of the team, from 0 to 1
     */
    public void setIssueShares(ToDoubleFunction<String> byTeam) {
        buckets.setIssueShares(byTeam);
    }

    /** Chooses the aggregators and transfers the issued tokens to them. */
    public void tick() {
        Basis current = new Basis(
                board.members().changeCount(),
                tokenShardCount(),
                board.configuration().get().configuration());
        if (!current.isSame(basis)) {
            basis = current;
            refresh(current);
        }
        allowancesByTokenShard.forEach(this::transfer);
    }

    /** What the candidates and the allowances by token shard are derived from. */
    private record Basis(long memberChanges, int tokenShards, Configuration configuration) {

        private boolean isSame(Basis other) {
            return other != null
                    && memberChanges == other.memberChanges
                    && tokenShards == other.tokenShards
                    && configuration == other.configuration;
        }
    }

    private void refresh(Basis b) {
        Map<Integer, Set<TeamService>> allowances = new HashMap<>();
        allowanceKeys().forEach(k -> allowances
                .computeIfAbsent(tokenShardOf(k, b.tokenShards()), n -> new HashSet<>())
                .add(k));
        Map<Integer, List<String>> candidates = new HashMap<>();
        List<Member> reachable = board.members().reachable();
        for (int i = 0; i < b.tokenShards(); i++) {
            candidates.put(
                    i,
                    Membership.rendezvousOrder("tokens/" + i, reachable).stream()
                            .limit(MAX_CANDIDATES_PER_TOKEN_SHARD)
                            .map(Member::host)
                            .toList());
        }
        aggregators.setCandidates(candidates);
        allowancesByTokenShard = allowances;
        Set<TeamService> all = new HashSet<>();
        allowances.values().forEach(all::addAll);
        buckets.retain(all);
    }

    /**
     * Adds the tokens that another daemon transfers to this one, or relays them to the aggregator.
     *
     * @param request the tokens by allowance, all of one token shard
     * @return the allowances for which the aggregator needs more tokens
     */
    public CompletionStage<GiveReply> onGive(GiveRequest request) {
        Optional<Member> target = relayTarget(request.getTokenShard(), request.getRelayed());
        if (target.isPresent()) {
            GiveRequest relayed = request.toBuilder().setRelayed(true).build();
            return peers.<GiveReply>call(target.get(), CALL_TIMEOUT, (stub, o) -> stub.give(relayed, o))
                    .handle((r, e) -> {
                        skipOnError(target.get(), e);
                        return e == null ? r : createGiveReply(request.getTokenShard());
                    });
        }
        for (TokenGift g : request.getGiftsList()) {
            buckets.receive(new TeamService(g.getTeam(), g.getAllowance()), g.getTokens());
        }
        return CompletableFuture.completedFuture(createGiveReply(request.getTokenShard()));
    }

    private GiveReply createGiveReply(int tokenShard) {
        GiveReply.Builder out = GiveReply.newBuilder();
        Set<TeamService> keys = allowancesByTokenShard.getOrDefault(tokenShard, Set.of());
        for (TeamService k : buckets.needingTokens(keys)) {
            out.addWanted(TokenGift.newBuilder().setTeam(k.team()).setAllowance(k.service()));
        }
        return out.build();
    }

    /**
     * Takes a token for a request that another daemon has received, from this daemon or, by a relayed message, from the
     * aggregator.
     *
     * @param request the team and the name of the allowance
     * @return the decision
     */
    public CompletionStage<TakeReply> onTake(TakeRequest request) {
        TeamService key = new TeamService(request.getTeam(), request.getAllowance());
        Optional<Member> target = relayTarget(tokenShardOf(key, tokenShardCount()), request.getRelayed());
        if (target.isEmpty()) {
            return CompletableFuture.completedFuture(takeHere(request));
        }
        TakeRequest relayed = request.toBuilder().setRelayed(true).build();
        return peers.<TakeReply>call(target.get(), RELAY_TIMEOUT, (stub, o) -> stub.take(relayed, o))
                .handle((r, e) -> {
                    skipOnError(target.get(), e);
                    return e == null ? r : takeHere(request);
                });
    }

    private TakeReply takeHere(TakeRequest request) {
        TeamService key = new TeamService(request.getTeam(), request.getAllowance());
        DistributedTokenBuckets.Decision d =
                buckets.take(key, Duration.ofMillis(request.getMaxWaitMillis()), request.getWaited());
        return TakeReply.newBuilder()
                .setGranted(d.granted())
                .setRetryAfterMillis(d.retryAfterMillis())
                .setReserved(d.reserved())
                .build();
    }

    private Optional<Member> relayTarget(int tokenShard, boolean relayed) {
        return aggregators.relayTarget(tokenShard, relayed).flatMap(board.members()::find);
    }

    @Override
    public Single<Grant> acquire(String team, String allowance, long deadline, Duration maxWait) {
        TakeRequest request = TakeRequest.newBuilder()
                .setFrom(board.settings().host())
                .setTeam(team)
                .setAllowance(allowance)
                .setMaxWaitMillis(maxWait.toMillis())
                .build();
        return acquire(request);
    }

    // Asks again after the wait if a token is reserved.
    private Single<Grant> acquire(TakeRequest request) {
        return take(request, 0).flatMap(reply -> {
            if (reply.isEmpty()) {
                return succeeded(Grant.NO_RIGHT);
            }
            TakeReply r = reply.get();
            if (!r.getReserved()) {
                return succeeded(grant(r.getGranted(), r.getRetryAfterMillis()));
            }
            TakeRequest again = request.toBuilder()
                    .setMaxWaitMillis(Math.max(0, request.getMaxWaitMillis() - r.getRetryAfterMillis()))
                    .setWaited(true)
                    .build();
            return timer.timer(Duration.ofMillis(r.getRetryAfterMillis())).concat(defer(() -> acquire(again)));
        });
    }

    // Returns an empty result if no candidate answered.
    private Single<Optional<TakeReply>> take(TakeRequest request, int failures) {
        TeamService key = new TeamService(request.getTeam(), request.getAllowance());
        Member m = aggregators
                .aggregator(tokenShardOf(key, tokenShardCount()))
                .flatMap(board.members()::find)
                .orElse(null);
        if (m == null || failures == MAX_CANDIDATES_PER_TOKEN_SHARD) {
            return succeeded(Optional.empty());
        }
        if (isSelf(m)) {
            return succeeded(Optional.of(takeHere(request)));
        }
        return fromStage(peers.<TakeReply>call(m, CALL_TIMEOUT, (stub, o) -> stub.take(request, o)))
                .map(Optional::of)
                .onErrorResume(e -> {
                    skipOnError(m, e);
                    return defer(() -> take(request, failures + 1));
                });
    }

    private void transfer(int tokenShard, Set<TeamService> keys) {
        Member m = aggregators
                .aggregator(tokenShard)
                .flatMap(board.members()::find)
                .orElse(null);
        logAggregatorChange(tokenShard, m);
        if (m == null || isSelf(m) || !transfers.mayStart(tokenShard, m.host())) {
            return;
        }
        GiveRequest.Builder request =
                GiveRequest.newBuilder().setFrom(board.settings().host()).setTokenShard(tokenShard);
        buckets.takeForTransfer(transfers.select(tokenShard, m.host(), keys))
                .forEach((k, n) -> request.addGifts(TokenGift.newBuilder()
                        .setTeam(k.team())
                        .setAllowance(k.service())
                        .setTokens(n)));
        if (!transfers.start(tokenShard, m.host(), request.getGiftsCount() > 0, buckets.issuesAny(keys))) {
            return;
        }
        peers.<GiveReply>call(m, CALL_TIMEOUT.multipliedBy(2), (stub, o) -> stub.give(request.build(), o))
                .whenComplete((r, e) -> {
                    if (e != null) {
                        skipOnError(m, e);
                        transfers.failed(tokenShard, m.host());
                        return;
                    }
                    Set<TeamService> needed = new HashSet<>();
                    r.getWantedList().forEach(g -> needed.add(new TeamService(g.getTeam(), g.getAllowance())));
                    transfers.answered(tokenShard, m.host(), needed);
                });
    }

    private void logAggregatorChange(int tokenShard, Member m) {
        String now = m == null ? "" : m.host();
        if (!now.equals(loggedAggregators.get(tokenShard))) {
            Map<Integer, String> next = new HashMap<>(loggedAggregators);
            next.put(tokenShard, now);
            loggedAggregators = next;
            Logger.info("tokens of shard {} are collected by '{}'", tokenShard, now);
        }
    }

    private void skipOnError(Member m, Throwable e) {
        if (e != null && aggregators.skip(m.host())) {
            Logger.warn(
                    "token aggregator {} does not answer and is skipped for {}: {}",
                    m.host(),
                    TokenAggregators.SKIP_DURATION,
                    e.getMessage());
        }
    }

    private boolean isSelf(Member m) {
        return m.host().equals(board.settings().host());
    }

    private static Grant grant(boolean granted, long retryAfterMillis) {
        return granted ? Grant.ONE_TOKEN : new Grant(AcquireResult.OVER_RATE, 0, 0, retryAfterMillis, 0);
    }

    private Optional<Allowance> allowance(TeamService key) {
        return board.configuration().get().configuration().allowance(key.team(), key.service());
    }

    private Set<TeamService> allowanceKeys() {
        Configuration c = board.configuration().get().configuration();
        Set<TeamService> out = new HashSet<>();
        c.teams().values().forEach(t -> Optional.ofNullable(c.plans().get(t.plan()))
                .ifPresent(p -> p.allowances().forEach((service, a) -> {
                    if (a.isLimited()) {
                        out.add(new TeamService(t.name(), service));
                    }
                })));
        return out;
    }

    private int tokenShardCount() {
        return Math.max(1, (board.fleetSize() + HOSTS_PER_TOKEN_SHARD - 1) / HOSTS_PER_TOKEN_SHARD);
    }

    private static int tokenShardOf(TeamService key, int tokenShards) {
        return (int) Math.floorMod(Digests.hash64(key.team()), (long) tokenShards);
    }
}
