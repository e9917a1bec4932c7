package io.fuchsiastand.work;

import java.time.Duration;

import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BusyTimeTest {

    private static final WorkKind KIND = new WorkKind("menu", "a", 0);

    private final ManualClock clock = new ManualClock();
    private final ServiceWork service = new ServiceWork();
    private final BusyTime a = new BusyTime(service, clock.nanoTime());
    private final BusyTime b = new BusyTime(service, clock.nanoTime());

    @Test
    void aNewBackendServerIsIdleAndSoonAsBusyAsUsual() {
        a.report(500, clock.nanoTime());
        assertThat(finishMillis(b)).isEqualTo(100);
        clock.advance(Duration.ofMinutes(1));
        assertThat(finishMillis(b)).isWithin(0.1).of(600);
    }

    @Test
    void anOldReportGivesWayToWhatIsUsual() {
        service.recordCost(KIND, 100);
        b.report(500, clock.nanoTime());
        a.report(0, clock.nanoTime());
        assertThat(finishMillis(a)).isLessThan(finishMillis(b));
        clock.advance(Duration.ofMinutes(1));
        assertThat(finishMillis(a)).isWithin(0.1).of(finishMillis(b));
    }

    @Test
    void callsThatAreNotYetAnsweredCountUntilTheNextReport() {
        a.report(0, clock.nanoTime());
        a.add(800, 8, clock.nanoTime());
        assertThat(finishMillis(a)).isWithin(1e-3).of(200);
        a.report(0, clock.nanoTime());
        assertThat(finishMillis(a)).isEqualTo(100);
    }

    @Test
    void aSlowBackendServerNeedsLongerButNoneCountsAsMoreThanTwiceAsFast() {
        for (int i = 0; i < 20; i++) {
            a.recordCost(500, 100);
            b.recordCost(1, 100);
        }
        assertThat(finishMillis(a)).isGreaterThan(300);
        assertThat(finishMillis(b)).isAtLeast(50);
    }

    @Test
    void slotsAreBusyAsLongAsTheWaitingWorkNotAsTheLongestCall() {
        assertThat(WaterFilling.busyTime(new double[] {7_000, 100, 100}, 3, 200))
                .isEqualTo(200);
        assertThat(WaterFilling.busyTime(new double[] {7_000}, 3, 200)).isEqualTo(100);
        assertThat(WaterFilling.busyTime(new double[0], 3, 0)).isEqualTo(0);
    }

    private double finishMillis(BusyTime x) {
        return x.expectedFinishMillis(100, 1, clock.nanoTime());
    }
}
