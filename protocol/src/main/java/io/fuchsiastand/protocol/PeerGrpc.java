package io.fuchsiastand.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Control traffic between two daemons. The requests of callers are forwarded over the data port instead.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "fuchsiastand.peer.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.ProbeRequest,
      io.fuchsiastand.protocol.ProbeReply> getProbeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Probe",
      requestType = io.fuchsiastand.protocol.ProbeRequest.class,
      responseType = io.fuchsiastand.protocol.ProbeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.ProbeRequest,
      io.fuchsiastand.protocol.ProbeReply> getProbeMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.ProbeRequest, io.fuchsiastand.protocol.ProbeReply> getProbeMethod;
    if ((getProbeMethod = PeerGrpc.getProbeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getProbeMethod = PeerGrpc.getProbeMethod) == null) {
          PeerGrpc.getProbeMethod = getProbeMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.ProbeRequest, io.fuchsiastand.protocol.ProbeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Probe"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.ProbeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.ProbeReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Probe"))
              .build();
        }
      }
    }
    return getProbeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.SyncRequest,
      io.fuchsiastand.protocol.SyncReply> getSyncMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Sync",
      requestType = io.fuchsiastand.protocol.SyncRequest.class,
      responseType = io.fuchsiastand.protocol.SyncReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.SyncRequest,
      io.fuchsiastand.protocol.SyncReply> getSyncMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.SyncRequest, io.fuchsiastand.protocol.SyncReply> getSyncMethod;
    if ((getSyncMethod = PeerGrpc.getSyncMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getSyncMethod = PeerGrpc.getSyncMethod) == null) {
          PeerGrpc.getSyncMethod = getSyncMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.SyncRequest, io.fuchsiastand.protocol.SyncReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Sync"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.SyncRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.SyncReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Sync"))
              .build();
        }
      }
    }
    return getSyncMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.AcquireRequest,
      io.fuchsiastand.protocol.AcquireReply> getAcquireMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Acquire",
      requestType = io.fuchsiastand.protocol.AcquireRequest.class,
      responseType = io.fuchsiastand.protocol.AcquireReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.AcquireRequest,
      io.fuchsiastand.protocol.AcquireReply> getAcquireMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.AcquireRequest, io.fuchsiastand.protocol.AcquireReply> getAcquireMethod;
    if ((getAcquireMethod = PeerGrpc.getAcquireMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getAcquireMethod = PeerGrpc.getAcquireMethod) == null) {
          PeerGrpc.getAcquireMethod = getAcquireMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.AcquireRequest, io.fuchsiastand.protocol.AcquireReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Acquire"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.AcquireRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.AcquireReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Acquire"))
              .build();
        }
      }
    }
    return getAcquireMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.RenewBatch,
      io.fuchsiastand.protocol.RenewBatchReply> getRenewMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Renew",
      requestType = io.fuchsiastand.protocol.RenewBatch.class,
      responseType = io.fuchsiastand.protocol.RenewBatchReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.RenewBatch,
      io.fuchsiastand.protocol.RenewBatchReply> getRenewMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.RenewBatch, io.fuchsiastand.protocol.RenewBatchReply> getRenewMethod;
    if ((getRenewMethod = PeerGrpc.getRenewMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getRenewMethod = PeerGrpc.getRenewMethod) == null) {
          PeerGrpc.getRenewMethod = getRenewMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.RenewBatch, io.fuchsiastand.protocol.RenewBatchReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Renew"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.RenewBatch.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.RenewBatchReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Renew"))
              .build();
        }
      }
    }
    return getRenewMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.SurrenderRequest,
      io.fuchsiastand.protocol.SurrenderReply> getSurrenderMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Surrender",
      requestType = io.fuchsiastand.protocol.SurrenderRequest.class,
      responseType = io.fuchsiastand.protocol.SurrenderReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.SurrenderRequest,
      io.fuchsiastand.protocol.SurrenderReply> getSurrenderMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.SurrenderRequest, io.fuchsiastand.protocol.SurrenderReply> getSurrenderMethod;
    if ((getSurrenderMethod = PeerGrpc.getSurrenderMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getSurrenderMethod = PeerGrpc.getSurrenderMethod) == null) {
          PeerGrpc.getSurrenderMethod = getSurrenderMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.SurrenderRequest, io.fuchsiastand.protocol.SurrenderReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Surrender"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.SurrenderRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.SurrenderReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Surrender"))
              .build();
        }
      }
    }
    return getSurrenderMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TrackRequest,
      io.fuchsiastand.protocol.TrackReply> getTrackMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Track",
      requestType = io.fuchsiastand.protocol.TrackRequest.class,
      responseType = io.fuchsiastand.protocol.TrackReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TrackRequest,
      io.fuchsiastand.protocol.TrackReply> getTrackMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TrackRequest, io.fuchsiastand.protocol.TrackReply> getTrackMethod;
    if ((getTrackMethod = PeerGrpc.getTrackMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getTrackMethod = PeerGrpc.getTrackMethod) == null) {
          PeerGrpc.getTrackMethod = getTrackMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.TrackRequest, io.fuchsiastand.protocol.TrackReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Track"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.TrackRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.TrackReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Track"))
              .build();
        }
      }
    }
    return getTrackMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TransferRequest,
      io.fuchsiastand.protocol.TransferReply> getTransferMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Transfer",
      requestType = io.fuchsiastand.protocol.TransferRequest.class,
      responseType = io.fuchsiastand.protocol.TransferReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TransferRequest,
      io.fuchsiastand.protocol.TransferReply> getTransferMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TransferRequest, io.fuchsiastand.protocol.TransferReply> getTransferMethod;
    if ((getTransferMethod = PeerGrpc.getTransferMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getTransferMethod = PeerGrpc.getTransferMethod) == null) {
          PeerGrpc.getTransferMethod = getTransferMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.TransferRequest, io.fuchsiastand.protocol.TransferReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Transfer"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.TransferRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.TransferReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Transfer"))
              .build();
        }
      }
    }
    return getTransferMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.GiveRequest,
      io.fuchsiastand.protocol.GiveReply> getGiveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Give",
      requestType = io.fuchsiastand.protocol.GiveRequest.class,
      responseType = io.fuchsiastand.protocol.GiveReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.GiveRequest,
      io.fuchsiastand.protocol.GiveReply> getGiveMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.GiveRequest, io.fuchsiastand.protocol.GiveReply> getGiveMethod;
    if ((getGiveMethod = PeerGrpc.getGiveMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getGiveMethod = PeerGrpc.getGiveMethod) == null) {
          PeerGrpc.getGiveMethod = getGiveMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.GiveRequest, io.fuchsiastand.protocol.GiveReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Give"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.GiveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.GiveReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Give"))
              .build();
        }
      }
    }
    return getGiveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TakeRequest,
      io.fuchsiastand.protocol.TakeReply> getTakeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Take",
      requestType = io.fuchsiastand.protocol.TakeRequest.class,
      responseType = io.fuchsiastand.protocol.TakeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TakeRequest,
      io.fuchsiastand.protocol.TakeReply> getTakeMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.TakeRequest, io.fuchsiastand.protocol.TakeReply> getTakeMethod;
    if ((getTakeMethod = PeerGrpc.getTakeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getTakeMethod = PeerGrpc.getTakeMethod) == null) {
          PeerGrpc.getTakeMethod = getTakeMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.TakeRequest, io.fuchsiastand.protocol.TakeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Take"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.TakeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.TakeReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Take"))
              .build();
        }
      }
    }
    return getTakeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.fuchsiastand.protocol.LendRequest,
      io.fuchsiastand.protocol.LendReply> getLendMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Lend",
      requestType = io.fuchsiastand.protocol.LendRequest.class,
      responseType = io.fuchsiastand.protocol.LendReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.fuchsiastand.protocol.LendRequest,
      io.fuchsiastand.protocol.LendReply> getLendMethod() {
    io.grpc.MethodDescriptor<io.fuchsiastand.protocol.LendRequest, io.fuchsiastand.protocol.LendReply> getLendMethod;
    if ((getLendMethod = PeerGrpc.getLendMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getLendMethod = PeerGrpc.getLendMethod) == null) {
          PeerGrpc.getLendMethod = getLendMethod =
              io.grpc.MethodDescriptor.<io.fuchsiastand.protocol.LendRequest, io.fuchsiastand.protocol.LendReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Lend"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.LendRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.fuchsiastand.protocol.LendReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Lend"))
              .build();
        }
      }
    }
    return getLendMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Control traffic between two daemons. The requests of callers are forwarded over the data port instead.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Failure detector: answers a probe, or probes another member on behalf of the sender.
     * </pre>
     */
    default void probe(io.fuchsiastand.protocol.ProbeRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.ProbeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getProbeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Anti-entropy: compares replicated records, returns those that the sender lacks or has in an older version, and
     * carries those that the receiver lacks or has in an older version. Also returns records by name.
     * </pre>
     */
    default void sync(io.fuchsiastand.protocol.SyncRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.SyncReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSyncMethod(), responseObserver);
    }

    /**
     * <pre>
     * Rate limits: takes tokens for a team and a service from the holder or the standby of the team's shard.
     * </pre>
     */
    default void acquire(io.fuchsiastand.protocol.AcquireRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.AcquireReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAcquireMethod(), responseObserver);
    }

    /**
     * <pre>
     * Rate limits: renews the leases that the sender and the receiver have on shards.
     * </pre>
     */
    default void renew(io.fuchsiastand.protocol.RenewBatch request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.RenewBatchReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRenewMethod(), responseObserver);
    }

    /**
     * <pre>
     * Rate limits: ends the receiver's leases of earlier epochs on a shard.
     * </pre>
     */
    default void surrender(io.fuchsiastand.protocol.SurrenderRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.SurrenderReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSurrenderMethod(), responseObserver);
    }

    /**
     * <pre>
     * At-most-once: records the start, the end, the cancellation or the unknown outcome of a request that carries an
     * idempotency key, at the holder of the shard or, as a copy, at its standby.
     * </pre>
     */
    default void track(io.fuchsiastand.protocol.TrackRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TrackReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTrackMethod(), responseObserver);
    }

    /**
     * <pre>
     * At-most-once: transfers the stored keys of a shard to a process of the partner that has not received them yet.
     * </pre>
     */
    default void transfer(io.fuchsiastand.protocol.TransferRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TransferReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTransferMethod(), responseObserver);
    }

    /**
     * <pre>
     * Token transfer: transfers tokens that the sender has issued to the token aggregator of a shard of teams.
     * </pre>
     */
    default void give(io.fuchsiastand.protocol.GiveRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.GiveReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGiveMethod(), responseObserver);
    }

    /**
     * <pre>
     * Token transfer: takes a token for one request from the token aggregator of its team.
     * </pre>
     */
    default void take(io.fuchsiastand.protocol.TakeRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TakeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTakeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Retries: lends a part of the receiver's retry budget for a service.
     * </pre>
     */
    default void lend(io.fuchsiastand.protocol.LendRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.LendReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getLendMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   * <pre>
   * Control traffic between two daemons. The requests of callers are forwarded over the data port instead.
   * </pre>
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   * <pre>
   * Control traffic between two daemons. The requests of callers are forwarded over the data port instead.
   * </pre>
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Failure detector: answers a probe, or probes another member on behalf of the sender.
     * </pre>
     */
    public void probe(io.fuchsiastand.protocol.ProbeRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.ProbeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getProbeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Anti-entropy: compares replicated records, returns those that the sender lacks or has in an older version, and
     * carries those that the receiver lacks or has in an older version. Also returns records by name.
     * </pre>
     */
    public void sync(io.fuchsiastand.protocol.SyncRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.SyncReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSyncMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Rate limits: takes tokens for a team and a service from the holder or the standby of the team's shard.
     * </pre>
     */
    public void acquire(io.fuchsiastand.protocol.AcquireRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.AcquireReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAcquireMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Rate limits: renews the leases that the sender and the receiver have on shards.
     * </pre>
     */
    public void renew(io.fuchsiastand.protocol.RenewBatch request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.RenewBatchReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRenewMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Rate limits: ends the receiver's leases of earlier epochs on a shard.
     * </pre>
     */
    public void surrender(io.fuchsiastand.protocol.SurrenderRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.SurrenderReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSurrenderMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * At-most-once: records the start, the end, the cancellation or the unknown outcome of a request that carries an
     * idempotency key, at the holder of the shard or, as a copy, at its standby.
     * </pre>
     */
    public void track(io.fuchsiastand.protocol.TrackRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TrackReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTrackMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * At-most-once: transfers the stored keys of a shard to a process of the partner that has not received them yet.
     * </pre>
     */
    public void transfer(io.fuchsiastand.protocol.TransferRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TransferReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTransferMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Token transfer: transfers tokens that the sender has issued to the token aggregator of a shard of teams.
     * </pre>
     */
    public void give(io.fuchsiastand.protocol.GiveRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.GiveReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGiveMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Token transfer: takes a token for one request from the token aggregator of its team.
     * </pre>
     */
    public void take(io.fuchsiastand.protocol.TakeRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TakeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTakeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Retries: lends a part of the receiver's retry budget for a service.
     * </pre>
     */
    public void lend(io.fuchsiastand.protocol.LendRequest request,
        io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.LendReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getLendMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   * <pre>
   * Control traffic between two daemons. The requests of callers are forwarded over the data port instead.
   * </pre>
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Failure detector: answers a probe, or probes another member on behalf of the sender.
     * </pre>
     */
    public io.fuchsiastand.protocol.ProbeReply probe(io.fuchsiastand.protocol.ProbeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getProbeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Anti-entropy: compares replicated records, returns those that the sender lacks or has in an older version, and
     * carries those that the receiver lacks or has in an older version. Also returns records by name.
     * </pre>
     */
    public io.fuchsiastand.protocol.SyncReply sync(io.fuchsiastand.protocol.SyncRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSyncMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Rate limits: takes tokens for a team and a service from the holder or the standby of the team's shard.
     * </pre>
     */
    public io.fuchsiastand.protocol.AcquireReply acquire(io.fuchsiastand.protocol.AcquireRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAcquireMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Rate limits: renews the leases that the sender and the receiver have on shards.
     * </pre>
     */
    public io.fuchsiastand.protocol.RenewBatchReply renew(io.fuchsiastand.protocol.RenewBatch request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRenewMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Rate limits: ends the receiver's leases of earlier epochs on a shard.
     * </pre>
     */
    public io.fuchsiastand.protocol.SurrenderReply surrender(io.fuchsiastand.protocol.SurrenderRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSurrenderMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * At-most-once: records the start, the end, the cancellation or the unknown outcome of a request that carries an
     * idempotency key, at the holder of the shard or, as a copy, at its standby.
     * </pre>
     */
    public io.fuchsiastand.protocol.TrackReply track(io.fuchsiastand.protocol.TrackRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTrackMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * At-most-once: transfers the stored keys of a shard to a process of the partner that has not received them yet.
     * </pre>
     */
    public io.fuchsiastand.protocol.TransferReply transfer(io.fuchsiastand.protocol.TransferRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTransferMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Token transfer: transfers tokens that the sender has issued to the token aggregator of a shard of teams.
     * </pre>
     */
    public io.fuchsiastand.protocol.GiveReply give(io.fuchsiastand.protocol.GiveRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGiveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Token transfer: takes a token for one request from the token aggregator of its team.
     * </pre>
     */
    public io.fuchsiastand.protocol.TakeReply take(io.fuchsiastand.protocol.TakeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTakeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Retries: lends a part of the receiver's retry budget for a service.
     * </pre>
     */
    public io.fuchsiastand.protocol.LendReply lend(io.fuchsiastand.protocol.LendRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getLendMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   * <pre>
   * Control traffic between two daemons. The requests of callers are forwarded over the data port instead.
   * </pre>
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Failure detector: answers a probe, or probes another member on behalf of the sender.
     * </pre>
     */
    public io.fuchsiastand.protocol.ProbeReply probe(io.fuchsiastand.protocol.ProbeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getProbeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Anti-entropy: compares replicated records, returns those that the sender lacks or has in an older version, and
     * carries those that the receiver lacks or has in an older version. Also returns records by name.
     * </pre>
     */
    public io.fuchsiastand.protocol.SyncReply sync(io.fuchsiastand.protocol.SyncRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSyncMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Rate limits: takes tokens for a team and a service from the holder or the standby of the team's shard.
     * </pre>
     */
    public io.fuchsiastand.protocol.AcquireReply acquire(io.fuchsiastand.protocol.AcquireRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAcquireMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Rate limits: renews the leases that the sender and the receiver have on shards.
     * </pre>
     */
    public io.fuchsiastand.protocol.RenewBatchReply renew(io.fuchsiastand.protocol.RenewBatch request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRenewMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Rate limits: ends the receiver's leases of earlier epochs on a shard.
     * </pre>
     */
    public io.fuchsiastand.protocol.SurrenderReply surrender(io.fuchsiastand.protocol.SurrenderRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSurrenderMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * At-most-once: records the start, the end, the cancellation or the unknown outcome of a request that carries an
     * idempotency key, at the holder of the shard or, as a copy, at its standby.
     * </pre>
     */
    public io.fuchsiastand.protocol.TrackReply track(io.fuchsiastand.protocol.TrackRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTrackMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * At-most-once: transfers the stored keys of a shard to a process of the partner that has not received them yet.
     * </pre>
     */
    public io.fuchsiastand.protocol.TransferReply transfer(io.fuchsiastand.protocol.TransferRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTransferMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Token transfer: transfers tokens that the sender has issued to the token aggregator of a shard of teams.
     * </pre>
     */
    public io.fuchsiastand.protocol.GiveReply give(io.fuchsiastand.protocol.GiveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGiveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Token transfer: takes a token for one request from the token aggregator of its team.
     * </pre>
     */
    public io.fuchsiastand.protocol.TakeReply take(io.fuchsiastand.protocol.TakeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTakeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Retries: lends a part of the receiver's retry budget for a service.
     * </pre>
     */
    public io.fuchsiastand.protocol.LendReply lend(io.fuchsiastand.protocol.LendRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getLendMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   * <pre>
   * Control traffic between two daemons. The requests of callers are forwarded over the data port instead.
   * </pre>
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Failure detector: answers a probe, or probes another member on behalf of the sender.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.ProbeReply> probe(
        io.fuchsiastand.protocol.ProbeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getProbeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Anti-entropy: compares replicated records, returns those that the sender lacks or has in an older version, and
     * carries those that the receiver lacks or has in an older version. Also returns records by name.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.SyncReply> sync(
        io.fuchsiastand.protocol.SyncRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSyncMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Rate limits: takes tokens for a team and a service from the holder or the standby of the team's shard.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.AcquireReply> acquire(
        io.fuchsiastand.protocol.AcquireRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAcquireMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Rate limits: renews the leases that the sender and the receiver have on shards.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.RenewBatchReply> renew(
        io.fuchsiastand.protocol.RenewBatch request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRenewMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Rate limits: ends the receiver's leases of earlier epochs on a shard.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.SurrenderReply> surrender(
        io.fuchsiastand.protocol.SurrenderRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSurrenderMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * At-most-once: records the start, the end, the cancellation or the unknown outcome of a request that carries an
     * idempotency key, at the holder of the shard or, as a copy, at its standby.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.TrackReply> track(
        io.fuchsiastand.protocol.TrackRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTrackMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * At-most-once: transfers the stored keys of a shard to a process of the partner that has not received them yet.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.TransferReply> transfer(
        io.fuchsiastand.protocol.TransferRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTransferMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Token transfer: transfers tokens that the sender has issued to the token aggregator of a shard of teams.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.GiveReply> give(
        io.fuchsiastand.protocol.GiveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGiveMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Token transfer: takes a token for one request from the token aggregator of its team.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.TakeReply> take(
        io.fuchsiastand.protocol.TakeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTakeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Retries: lends a part of the receiver's retry budget for a service.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.fuchsiastand.protocol.LendReply> lend(
        io.fuchsiastand.protocol.LendRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getLendMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_PROBE = 0;
  private static final int METHODID_SYNC = 1;
  private static final int METHODID_ACQUIRE = 2;
  private static final int METHODID_RENEW = 3;
  private static final int METHODID_SURRENDER = 4;
  private static final int METHODID_TRACK = 5;
  private static final int METHODID_TRANSFER = 6;
  private static final int METHODID_GIVE = 7;
  private static final int METHODID_TAKE = 8;
  private static final int METHODID_LEND = 9;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_PROBE:
          serviceImpl.probe((io.fuchsiastand.protocol.ProbeRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.ProbeReply>) responseObserver);
          break;
        case METHODID_SYNC:
          serviceImpl.sync((io.fuchsiastand.protocol.SyncRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.SyncReply>) responseObserver);
          break;
        case METHODID_ACQUIRE:
          serviceImpl.acquire((io.fuchsiastand.protocol.AcquireRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.AcquireReply>) responseObserver);
          break;
        case METHODID_RENEW:
          serviceImpl.renew((io.fuchsiastand.protocol.RenewBatch) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.RenewBatchReply>) responseObserver);
          break;
        case METHODID_SURRENDER:
          serviceImpl.surrender((io.fuchsiastand.protocol.SurrenderRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.SurrenderReply>) responseObserver);
          break;
        case METHODID_TRACK:
          serviceImpl.track((io.fuchsiastand.protocol.TrackRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TrackReply>) responseObserver);
          break;
        case METHODID_TRANSFER:
          serviceImpl.transfer((io.fuchsiastand.protocol.TransferRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TransferReply>) responseObserver);
          break;
        case METHODID_GIVE:
          serviceImpl.give((io.fuchsiastand.protocol.GiveRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.GiveReply>) responseObserver);
          break;
        case METHODID_TAKE:
          serviceImpl.take((io.fuchsiastand.protocol.TakeRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.TakeReply>) responseObserver);
          break;
        case METHODID_LEND:
          serviceImpl.lend((io.fuchsiastand.protocol.LendRequest) request,
              (io.grpc.stub.StreamObserver<io.fuchsiastand.protocol.LendReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getProbeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.ProbeRequest,
              io.fuchsiastand.protocol.ProbeReply>(
                service, METHODID_PROBE)))
        .addMethod(
          getSyncMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.SyncRequest,
              io.fuchsiastand.protocol.SyncReply>(
                service, METHODID_SYNC)))
        .addMethod(
          getAcquireMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.AcquireRequest,
              io.fuchsiastand.protocol.AcquireReply>(
                service, METHODID_ACQUIRE)))
        .addMethod(
          getRenewMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.RenewBatch,
              io.fuchsiastand.protocol.RenewBatchReply>(
                service, METHODID_RENEW)))
        .addMethod(
          getSurrenderMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.SurrenderRequest,
              io.fuchsiastand.protocol.SurrenderReply>(
                service, METHODID_SURRENDER)))
        .addMethod(
          getTrackMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.TrackRequest,
              io.fuchsiastand.protocol.TrackReply>(
                service, METHODID_TRACK)))
        .addMethod(
          getTransferMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.TransferRequest,
              io.fuchsiastand.protocol.TransferReply>(
                service, METHODID_TRANSFER)))
        .addMethod(
          getGiveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.GiveRequest,
              io.fuchsiastand.protocol.GiveReply>(
                service, METHODID_GIVE)))
        .addMethod(
          getTakeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.TakeRequest,
              io.fuchsiastand.protocol.TakeReply>(
                service, METHODID_TAKE)))
        .addMethod(
          getLendMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.fuchsiastand.protocol.LendRequest,
              io.fuchsiastand.protocol.LendReply>(
                service, METHODID_LEND)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return io.fuchsiastand.protocol.PeerProto.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getProbeMethod())
              .addMethod(getSyncMethod())
              .addMethod(getAcquireMethod())
              .addMethod(getRenewMethod())
              .addMethod(getSurrenderMethod())
              .addMethod(getTrackMethod())
              .addMethod(getTransferMethod())
              .addMethod(getGiveMethod())
              .addMethod(getTakeMethod())
              .addMethod(getLendMethod())
              .build();
        }
      }
    }
    return result;
  }
}
