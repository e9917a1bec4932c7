package io.fuchsiastand.work;

import io.fuchsiastand.config.Idempotency;
import io.fuchsiastand.config.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class WorkKindTest {

    private static final Route ROUTE = Route.of("a.example", "/b/", false, Idempotency.NEVER);

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "3, 1", "4, 2", "60000, 8", "-1, 32", "9223372036854775807, 32"})
    void bodiesOfSimilarLengthAreOfOneKind(long bytes, int size) {
        assertThat(WorkKind.of("s", ROUTE, bytes).bodySize()).isEqualTo(size);
    }

    @Test
    void theTextIsReadBack() {
        WorkKind kind = WorkKind.of("s", ROUTE, 60_000);
        assertThat(WorkKind.parse("s", kind.toText())).isEqualTo(kind);
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "x", "0123abcd", "0123abcd.", "0123abcd.999", "0123abcd.-1", "0123ABCD.1"})
    void callsWithoutAValidTextShareOneKind(String text) {
        assertThat(WorkKind.parse("s", text)).isEqualTo(new WorkKind("s", "", 0));
    }
}
