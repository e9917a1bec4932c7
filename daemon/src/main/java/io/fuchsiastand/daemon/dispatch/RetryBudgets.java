package io.fuchsiastand.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.FleetRules;
import io.fuchsiastand.daemon.edge.RoutedRequest;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.LendReply;
import io.fuchsiastand.protocol.LendRequest;
import io.fuchsiastand.retry.RetryBudget;
import io.servicetalk.concurrent.api.Single;

import static io.servicetalk.concurrent.api.Single.defer;
import static io.servicetalk.concurrent.api.Single.fromStage;
import static io.servicetalk.concurrent.api.Single.succeeded;

/**
 * The retry budgets of this daemon by service. When a budget is used up, the daemon borrows a retry from the budgets of a few
 * other daemons, preferably of its data centre.
 */
public final class RetryBudgets {

    private static final int MAX_LENDERS = 4;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(150);
    // After a vain attempt to borrow a retry for a service, this daemon does not try again for this time.
    private static final Duration PAUSE = Duration.ofMillis(300);
    // After its start, a daemon has discovered only a few members and must not use the retry slack of the whole fleet
    // alone.
    private static final int MIN_FLEET_SIZE = 16;
    private static final double ROUNDING_ERROR = 1e-9;

    private final Blackboard board;
    private final Peers peers;
    private final DoubleSupplier retryShare;
    private final long startNanos;
    // The largest fleet size observed. If a network partition makes the fleet look smaller, each daemon's share of the
    // retry slack must not grow.
    private final AtomicInteger maxFleetSize = new AtomicInteger(MIN_FLEET_SIZE);
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final Map<String, Long> pausedUntil = new ConcurrentHashMap<>();
    // The services whose deficit is being settled.
    private final Set<String> settling = ConcurrentHashMap.newKeySet();

    /**
     * Creates the budgets of a process that starts now.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param retryShare returns the share of retries among the calls in flight on backend servers of this host, 0 to 1
     */
    public RetryBudgets(Blackboard board, Peers peers, DoubleSupplier retryShare) {
        this.retryShare = retryShare;
        this.board = board;
        this.peers = peers;
        startNanos = board.clock().nanoTime();
    }

    /**
     * Lends a part of a retry to another daemon, or takes over retries that it has made without a check.
     *
     * @param request the service and the part that the other daemon lacks
     * @return the part that it may use, or need no longer count
     */
    public LendReply onLend(LendRequest request) {
        RetryBudget b = budgets.get(request.getService());
        boolean known = b != null
                || board.configuration().get().configuration().services().containsKey(request.getService());
        if (!known) {
            return LendReply.getDefaultInstance();
        }
        RetryBudget budget = of(request.getService());
        double lent = request.getMade() ? budget.takeOver(request.getWanted()) : budget.lend(request.getWanted());
        return LendReply.newBuilder().setLent(lent).build();
    }

    void recordRequest(String service, RoutedRequest request) {
        RetryBudget budget = of(service);
        budget.recordRequest();
        if (request.isPartOfRequest()) {
            // It may come from a backend server of this host and be caused by a retry that runs there.
            budget.recordRetries(retryShare.getAsDouble());
            settleDeficit(service, budget);
        }
    }

    // Without this, the calls of retried runs would exceed the budget of this host while the other hosts use theirs.
    private void settleDeficit(String service, RetryBudget budget) {
        double deficit = budget.deficit();
        if (deficit == 0 || !settling.add(service)) {
            return;
        }
        collect(service, deficit, true, chooseLenders(), 0)
                .afterFinally(() -> settling.remove(service))
                .subscribe(lacking -> budget.handOver(deficit - lacking));
    }

    RetryBudget of(String service) {
        return budgets.computeIfAbsent(service, k -> {
            FleetRules rules = board.settings().rules();
            return new RetryBudget(
                    rules.retryRatio(),
                    rules.retryWindow(),
                    () -> rules.retrySlack() / maxFleetSize.accumulateAndGet(board.fleetSize(), Math::max),
                    startNanos,
                    board.clock());
        });
    }

    // Returns whether a retry was borrowed for the service.
    Single<Boolean> borrow(String service) {
        if (isPaused(service)) {
            return succeeded(false);
        }
        return collect(service, 1 - of(service).lend(1), false, chooseLenders(), 0)
                .map(lacking -> {
                    boolean borrowed = lacking <= ROUNDING_ERROR;
                    if (!borrowed) {
                        pause(service);
                    }
                    return borrowed;
                });
    }

    private boolean isPaused(String service) {
        Long until = pausedUntil.get(service);
        return until != null && board.clock().nanoTime() - until < 0;
    }

    private void pause(String service) {
        pausedUntil.put(service, board.clock().nanoTime() + PAUSE.toNanos());
    }

    // Asks the lenders in turn for a number of retries, or to take over retries that are made. Returns what is lacking
    // then.
    private Single<Double> collect(String service, double lacking, boolean made, List<Member> lenders, int next) {
        if (lacking <= ROUNDING_ERROR || next == lenders.size()) {
            return succeeded(lacking);
        }
        LendRequest request = LendRequest.newBuilder()
                .setFrom(board.settings().host())
                .setService(service)
                .setWanted(lacking)
                .setMade(made)
                .build();
        return fromStage(peers.<LendReply>call(lenders.get(next), CALL_TIMEOUT, (stub, o) -> stub.lend(request, o)))
                .map(r -> Math.max(0, Math.min(lacking, r.getLent())))
                .onErrorReturn(e -> 0.0)
                .flatMap(lent -> defer(() -> collect(service, lacking - lent, made, lenders, next + 1)));
    }

    private List<Member> chooseLenders() {
        String ownDataCentre = board.settings().dataCentre();
        List<Member> others = new ArrayList<>(board.members().reachable());
        others.removeIf(m -> m.host().equals(board.settings().host()));
        Collections.shuffle(others);
        others.sort(Comparator.comparing(m -> !m.dataCentre().equals(ownDataCentre)));
        return List.copyOf(others.subList(0, Math.min(MAX_LENDERS, others.size())));
    }
}
