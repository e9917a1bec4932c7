package io.fuchsiastand.memory;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LongestQueueDropTest {

    private static final long CAPACITY = 1_000;

    private final SharedBuffer buffer = new SharedBuffer(CAPACITY);
    private final List<String> dropped = new ArrayList<>();

    @Test
    void dropsTheConnectionThatHoldsTheMost() {
        SharedBuffer.Share small = share("small");
        SharedBuffer.Share large = share("large");
        assertThat(large.hold(900)).isTrue();

        assertThat(small.hold(101)).isTrue();
        assertThat(dropped).containsExactly("large");
        assertThat(large.hold(1)).isFalse();
        assertThat(buffer.heldBytes()).isEqualTo(101);
        assertThat(buffer.drops()).isEqualTo(1);
    }

    @Test
    void dropsTheConnectionThatAsksIfItHoldsTheMost() {
        share("small").hold(300);
        assertThat(share("large").hold(701)).isFalse();
        assertThat(dropped).containsExactly("large");
    }

    @Test
    void reservesOnlyWhatFits() {
        share("small").hold(300);
        assertThat(buffer.tryReserve(701)).isFalse();
        assertThat(buffer.tryReserve(700)).isTrue();
        buffer.release(700);
        assertThat(buffer.heldBytes()).isEqualTo(300);
        assertThat(dropped).isEmpty();
    }

    // Guards against a host that fills its memory while the connections that it closes still have theirs.
    @Test
    void letsOnlySmallConnectionsGrowWhileDroppedOnesAreStillOpen() {
        SharedBuffer.Share first = share("first");
        SharedBuffer.Share second = share("second");
        first.hold(1_001);
        second.hold(1_002);
        SharedBuffer.Share large = share("large");
        assertThat(large.hold(8)).isFalse();
        assertThat(share("small").hold(7)).isTrue();

        first.hold(0);
        assertThat(share("next").hold(500)).isTrue();
        assertThat(dropped).containsExactly("first", "second", "large");
    }

    @Property
    void holdsNeverMoreThanTheCapacity(@ForAll @Size(max = 50) List<@IntRange(max = 1_500) Integer> sizes) {
        List<SharedBuffer.Share> shares = List.of(share("a"), share("b"), share("c"));
        for (int i = 0; i < sizes.size(); i++) {
            shares.get(i % shares.size()).hold(sizes.get(i));
            assertThat(buffer.heldBytes()).isAtMost(CAPACITY);
        }
        shares.forEach(s -> s.hold(0));
        assertThat(buffer.heldBytes()).isEqualTo(0);
    }

    private SharedBuffer.Share share(String name) {
        return buffer.newShare(() -> dropped.add(name));
    }
}
