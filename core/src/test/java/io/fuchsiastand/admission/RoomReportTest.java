package io.fuchsiastand.admission;

import java.time.Duration;

import io.fuchsiastand.time.ManualClock;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RoomReportTest {

    private final ManualClock clock = new ManualClock();
    private final RoomMeter meter = new RoomMeter(clock);

    @Test
    void tellsFromWhichPriorityOnCallsAreRefused() {
        for (int i = 0; i < 20; i++) {
            meter.record(-1, true);
            meter.record(0, true);
            meter.record(1, i % 2 == 0);
        }
        RoomReport r = RoomReport.parse(meter.report().toText());
        assertThat(r.refusedIn(RoomReport.CALLS, 1)).isEqualTo(0);
        assertThat(r.refusedIn(RoomReport.CALLS, 2)).isWithin(0.02).of(10 / 62.0);
    }

    @Test
    void reportsNoShortageSecondsAfterTheLastRefusal() {
        meter.record(0, false);
        meter.record(0, false);
        assertThat(meter.report()).isNotEqualTo(RoomReport.FREE);
        clock.advance(Duration.ofSeconds(6));
        assertThat(meter.report()).isEqualTo(RoomReport.FREE);
    }

    @Test
    void aFewBackendServersWithoutRoomAreNoShortageOfTheService() {
        RoomEstimates room = new RoomEstimates(clock);
        room.hear("s", "full", RoomReport.parse("0=1.00"));
        room.hear("s", "free", RoomReport.FREE);
        assertThat(room.refusedByOwners("s", 0, 2)).isEqualTo(0);
        room.hear("s", "full, too", RoomReport.parse("0=1.00"));
        assertThat(room.refusedByOwners("s", 0, 2)).isEqualTo(1);
    }

    @Property
    boolean takesAnyTextForAReport(@ForAll String text) {
        return RoomReport.parse(text).refusedIn(Integer.MIN_VALUE, Integer.MAX_VALUE) <= 1;
    }
}
