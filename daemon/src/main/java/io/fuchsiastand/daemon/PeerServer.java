package io.fuchsiastand.daemon;

import java.util.concurrent.CompletionStage;

import io.fuchsiastand.daemon.dispatch.RetryBudgets;
import io.fuchsiastand.daemon.idempotency.IdempotencyController;
import io.fuchsiastand.daemon.limit.LimitClient;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.daemon.limit.TokenController;
import io.fuchsiastand.daemon.membership.GossipController;
import io.fuchsiastand.protocol.AcquireReply;
import io.fuchsiastand.protocol.AcquireRequest;
import io.fuchsiastand.protocol.GiveReply;
import io.fuchsiastand.protocol.GiveRequest;
import io.fuchsiastand.protocol.LendReply;
import io.fuchsiastand.protocol.LendRequest;
import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.protocol.RenewBatch;
import io.fuchsiastand.protocol.RenewBatchReply;
import io.fuchsiastand.protocol.SurrenderReply;
import io.fuchsiastand.protocol.SurrenderRequest;
import io.fuchsiastand.protocol.SyncReply;
import io.fuchsiastand.protocol.SyncRequest;
import io.fuchsiastand.protocol.TakeReply;
import io.fuchsiastand.protocol.TakeRequest;
import io.fuchsiastand.protocol.TrackReply;
import io.fuchsiastand.protocol.TrackRequest;
import io.fuchsiastand.protocol.TransferReply;
import io.fuchsiastand.protocol.TransferRequest;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;

/** The gRPC service for the control traffic between daemons. It passes each request to the controller that handles it. */
public final class PeerServer extends PeerGrpc.PeerImplBase {

    private final GossipController gossip;
    private final LimitController limits;
    private final LimitClient limitClient;
    private final IdempotencyController idempotency;
    private final TokenController tokens;
    private final RetryBudgets retryBudgets;

    /**
     * Creates the server.
     *
     * @param gossip handles probes and anti-entropy exchanges
     * @param limits handles lease renewals of the partners of shards, and requests of daemons to surrender leases
     * @param limitClient answers requests of other daemons to acquire quota; passes a request on if it names another
     *     daemon
     * @param idempotency tracks idempotency keys and stores the keys that partners send
     * @param tokens handles token transfers and requests for tokens
     * @param retryBudgets lends retries
     */
    public PeerServer(
            GossipController gossip,
            LimitController limits,
            LimitClient limitClient,
            IdempotencyController idempotency,
            TokenController tokens,
            RetryBudgets retryBudgets) {
        this.tokens = tokens;
        this.retryBudgets = retryBudgets;
        this.gossip = gossip;
        this.limits = limits;
        this.limitClient = limitClient;
        this.idempotency = idempotency;
    }

    @Override
    public void probe(ProbeRequest request, StreamObserver<ProbeReply> out) {
        gossip.onProbe(request, r -> reply(out, r));
    }

    @Override
    public void sync(SyncRequest request, StreamObserver<SyncReply> out) {
        reply(out, gossip.onSync(request));
    }

    @Override
    public void acquire(AcquireRequest request, StreamObserver<AcquireReply> out) {
        replyWhenDone(out, limitClient.onAcquire(request));
    }

    @Override
    public void renew(RenewBatch request, StreamObserver<RenewBatchReply> out) {
        reply(out, limits.onRenew(request));
    }

    @Override
    public void surrender(SurrenderRequest request, StreamObserver<SurrenderReply> out) {
        reply(
                out,
                SurrenderReply.newBuilder()
                        .setSurrendered(limits.onSurrender(request))
                        .build());
    }

    @Override
    public void give(GiveRequest request, StreamObserver<GiveReply> out) {
        replyWhenDone(out, tokens.onGive(request));
    }

    @Override
    public void take(TakeRequest request, StreamObserver<TakeReply> out) {
        replyWhenDone(out, tokens.onTake(request));
    }

    @Override
    public void lend(LendRequest request, StreamObserver<LendReply> out) {
        reply(out, retryBudgets.onLend(request));
    }

    @Override
    public void track(TrackRequest request, StreamObserver<TrackReply> out) {
        replyWhenDone(out, idempotency.onTrack(request));
    }

    @Override
    public void transfer(TransferRequest request, StreamObserver<TransferReply> out) {
        idempotency.onTransfer(request);
        reply(out, TransferReply.getDefaultInstance());
    }

    private static <T> void reply(StreamObserver<T> out, T value) {
        out.onNext(value);
        out.onCompleted();
    }

    private static <T> void replyWhenDone(StreamObserver<T> out, CompletionStage<T> value) {
        value.whenComplete((v, e) -> {
            if (e == null) {
                reply(out, v);
            } else {
                out.onError(Status.UNAVAILABLE.withCause(e).asRuntimeException());
            }
        });
    }
}
