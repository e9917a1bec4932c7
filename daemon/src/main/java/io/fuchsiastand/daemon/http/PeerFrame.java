package io.fuchsiastand.daemon.http;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import io.grpc.MethodDescriptor;
import io.grpc.Status;

/**
 * A request or a reply in a stream between two daemons, in the wire format of Protocol Buffers.
 *
 * @param call the number of the call in its stream; a reply has that of its request
 * @param method the name of the method, empty in a reply
 * @param status the code of the gRPC status, 0 in a request
 * @param message the encoded message, empty in a reply with an error
 */
record PeerFrame(long call, String method, int status, byte[] message) {

    /** The method whose stream carries the calls. */
    static final MethodDescriptor<PeerFrame, PeerFrame> STREAM = MethodDescriptor.<PeerFrame, PeerFrame>newBuilder()
            .setType(MethodDescriptor.MethodType.BIDI_STREAMING)
            .setFullMethodName(MethodDescriptor.generateFullMethodName("fuchsiastand.peer.PeerStream", "Calls"))
            .setRequestMarshaller(new Marshaller())
            .setResponseMarshaller(new Marshaller())
            .build();

    private static final int CALL = 1;
    private static final int METHOD = 2;
    private static final int STATUS = 3;
    private static final int MESSAGE = 4;

    static <T> byte[] encode(MethodDescriptor.Marshaller<T> marshaller, T message) {
        try (InputStream in = marshaller.stream(message)) {
            return readAll(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // All of a message is available. InputStream.readAllBytes would allocate 16 KiB for each.
    private static byte[] readAll(InputStream in) throws IOException {
        return in.readNBytes(in.available());
    }

    private static final class Marshaller implements MethodDescriptor.Marshaller<PeerFrame> {

        @Override
        public InputStream stream(PeerFrame f) {
            byte[] bytes = new byte
                    [CodedOutputStream.computeUInt64Size(CALL, f.call)
                            + CodedOutputStream.computeStringSize(METHOD, f.method)
                            + CodedOutputStream.computeUInt32Size(STATUS, f.status)
                            + CodedOutputStream.computeByteArraySize(MESSAGE, f.message)];
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            try {
                out.writeUInt64(CALL, f.call);
                out.writeString(METHOD, f.method);
                out.writeUInt32(STATUS, f.status);
                out.writeByteArray(MESSAGE, f.message);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return new ByteArrayInputStream(bytes);
        }

        @Override
        public PeerFrame parse(InputStream stream) {
            long call = 0;
            String method = "";
            int status = 0;
            byte[] message = {};
            try {
                CodedInputStream in = CodedInputStream.newInstance(readAll(stream));
                for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                    switch (WireFormat.getTagFieldNumber(tag)) {
                        case CALL -> call = in.readUInt64();
                        case METHOD -> method = in.readString();
                        case STATUS -> status = in.readUInt32();
                        case MESSAGE -> message = in.readByteArray();
                        default -> in.skipField(tag);
                    }
                }
            } catch (IOException e) {
                throw Status.INTERNAL
                        .withDescription("a message between daemons cannot be read")
                        .withCause(e)
                        .asRuntimeException();
            }
            return new PeerFrame(call, method, status, message);
        }
    }
}
