package io.fuchsiastand.memory;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests how far slow readers let their responses be read ahead. */
class ReadAheadTest {

    private static final int PART = 10_000;
    private static final int CAPACITY = 100 * PART;

    private final SharedBuffer buffer = new SharedBuffer(CAPACITY);

    private ReadAhead<Integer> newResponse() {
        return new ReadAhead<>(buffer.newShare(() -> {}), Integer::longValue);
    }

    // Reads parts for a reader that takes none, until no more is requested.
    private static void fill(ReadAhead<Integer> r) {
        while (r.request(0) > 0) {
            r.add(PART);
        }
    }

    @Test
    void leavesHalfOfTheBufferBesideOneSlowReader() {
        ReadAhead<Integer> slow = newResponse();
        fill(slow);
        assertThat(slow.partBytes()).isGreaterThan(CAPACITY * 2 / 5);
        assertThat(slow.partBytes()).isAtMost(CAPACITY / 2);
    }

    @Test
    void keepsACrowdOfSlowReadersWithinTheBufferAndDropsNone() {
        List<ReadAhead<Integer>> crowd =
                Stream.generate(this::newResponse).limit(300).toList();
        crowd.forEach(ReadAheadTest::fill);
        assertThat(buffer.heldBytes()).isAtMost(CAPACITY);
        assertThat(buffer.drops()).isEqualTo(0);
        crowd.forEach(ReadAhead::clear);
        assertThat(buffer.heldBytes()).isEqualTo(0);
    }

    @Test
    void requestsWhatAReaderWaitsForAlsoWithoutRoom() {
        buffer.tryReserve(CAPACITY);
        ReadAhead<Integer> r = newResponse();
        assertThat(r.request(3)).isEqualTo(3);
        r.add(1);
        r.add(2);
        assertThat(r.poll()).isEqualTo(1);
        assertThat(r.poll()).isEqualTo(2);
        assertThat(r.request(1)).isEqualTo(0);
    }
}
