package io.fuchsiastand.http;

import java.nio.charset.StandardCharsets;

import io.fuchsiastand.memory.SharedBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class MessageSizeLimitTest {

    private static final int MAX_BYTES = 1_000;
    private static final int MAX_LINES = 1_000;
    private static final int READ_BYTES = 100;

    private final Decoder decoder = new Decoder();
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, new ChannelInboundHandlerAdapter());

    /** Keeps all bytes, as long as the section does not end. */
    private static final class Decoder extends ChannelInboundHandlerAdapter {
        private int keptBytes;
        private boolean sectionEnds;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            keptBytes += bytes.readableBytes();
            bytes.release();
            if (sectionEnds) {
                keptBytes = 0;
                context.fireChannelRead("part");
            }
        }
    }

    MessageSizeLimitTest() {
        MessageSizeLimit.install(
                channel.pipeline(),
                MessageLimits.unshared(MAX_BYTES, MessageSizeLimit.UNLIMITED),
                MessageSizeLimit::close);
    }

    // Guards against a header section without end, of which all bytes were kept in memory.
    @Test
    void keepsNoMoreThanTheLimitOfASectionThatDoesNotEnd() {
        assertThrows(TooLongFrameException.class, () -> receive(100 * MAX_BYTES));
        assertThat(channel.isOpen()).isFalse();
        assertThat(decoder.keptBytes).isAtMost(MAX_BYTES + READ_BYTES);
    }

    @Test
    void doesNotLimitTheSumOfCompleteParts() {
        decoder.sectionEnds = true;
        receive(100 * MAX_BYTES);
        decoder.sectionEnds = false;
        receive(MAX_BYTES);
        assertThat(channel.isOpen()).isTrue();
    }

    // Guards against a body without end of which all bytes were kept in memory.
    @Test
    void failsWhenABodyIsLongerThanTheLimit() {
        EmbeddedChannel c = new EmbeddedChannel(new ChannelInboundHandlerAdapter());
        MessageSizeLimit.install(
                c.pipeline(), MessageLimits.unshared(MAX_BYTES, 2 * READ_BYTES), MessageSizeLimit::close);
        Buffer part = BufferAllocators.DEFAULT_ALLOCATOR.fromAscii("b".repeat(READ_BYTES));
        ChannelHandlerContext observer = c.pipeline().firstContext();
        observer.fireChannelRead(part);
        observer.fireChannelRead(part);
        c.checkException();
        assertThat(c.isOpen()).isTrue();

        observer.fireChannelRead(part);
        assertThrows(TooLongFrameException.class, c::checkException);
        assertThat(c.isOpen()).isFalse();
    }

    // Guards against short lines, of which each takes a hundred times its bytes.
    @Test
    void failsWhenASectionHasMoreLinesThanTheLimit() {
        EmbeddedChannel c = connection(new SharedBuffer(Long.MAX_VALUE));
        c.writeInbound(Unpooled.copiedBuffer("a:\n".repeat(MAX_LINES), StandardCharsets.US_ASCII));
        assertThat(c.isOpen()).isTrue();
        assertThrows(
                TooLongFrameException.class,
                () -> c.writeInbound(Unpooled.copiedBuffer("a:\n", StandardCharsets.US_ASCII)));
    }

    @Test
    void closesTheConnectionThatHoldsMostWhenAllHoldTooMuch() {
        SharedBuffer buffer = new SharedBuffer(MAX_LINES * 320L);
        EmbeddedChannel small = connection(buffer);
        EmbeddedChannel large = connection(buffer);
        large.writeInbound(Unpooled.copiedBuffer("a:\n".repeat(MAX_LINES / 2), StandardCharsets.US_ASCII));
        small.writeInbound(Unpooled.copiedBuffer("a:\n".repeat(MAX_LINES / 2 - 1), StandardCharsets.US_ASCII));

        assertThrows(TooLongFrameException.class, () -> {
            large.runPendingTasks();
            large.checkException();
        });
        assertThat(large.isOpen()).isFalse();
        small.runPendingTasks();
        assertThat(small.isOpen()).isTrue();
        small.close();
        assertThat(buffer.heldBytes()).isEqualTo(0);
    }

    // A section begins after an empty line or after the last chunk, also within the bytes that end what precedes it.
    @ParameterizedTest
    @CsvSource({"'a:\n\nb:\nc:\n', 2", "'5\nsugar\n0\nb:\nc:\n', 2", "'5\nsugar\n5\nsug', 0", "'a:\n\n', 0"})
    void countsTheLinesOfTheSectionThatHasNotEnded(String bytes, int expected) {
        SectionLines lines = new SectionLines();
        lines.scan(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        lines.partEnded();
        assertThat(lines.count()).isEqualTo(expected);
    }

    private static EmbeddedChannel connection(SharedBuffer buffer) {
        EmbeddedChannel c = new EmbeddedChannel(new Decoder(), new ChannelInboundHandlerAdapter());
        MessageLimits limits = new MessageLimits(100 * MAX_BYTES, MAX_LINES, MAX_BYTES, false, buffer);
        MessageSizeLimit.install(c.pipeline(), limits, MessageSizeLimit::close);
        return c;
    }

    private void receive(int bytes) {
        for (int received = 0; received < bytes && channel.isOpen(); received += READ_BYTES) {
            channel.writeInbound(Unpooled.buffer(READ_BYTES).writeZero(READ_BYTES));
        }
    }
}
