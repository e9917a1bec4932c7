package io.fuchsiastand.daemon.http;

import java.util.OptionalDouble;

import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpHeaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class HeaderConventionsTest {

    private final HttpHeaders headers = DefaultHttpHeadersFactory.INSTANCE.newHeaders();

    @ParameterizedTest
    @ValueSource(strings = {"3.7", "3.70", "37e-1"})
    void readsARateLimit(String value) {
        headers.set(HeaderNames.RATE_LIMIT, value);
        assertThat(HeaderConventions.DEFAULT.rateLimitOf(headers)).isEqualTo(OptionalDouble.of(3.7));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "many", "-1", "NaN", "Infinity", "1, 2"})
    void ignoresARateLimitThatIsNoFiniteNumberOfAtLeastZero(String value) {
        headers.set(HeaderNames.RATE_LIMIT, value);
        assertThat(HeaderConventions.DEFAULT.rateLimitOf(headers)).isEqualTo(OptionalDouble.empty());
    }

    @Test
    void findsNoStatementsInAResponseWithoutThem() {
        assertThat(HeaderConventions.DEFAULT.rateLimitOf(headers)).isEqualTo(OptionalDouble.empty());
        assertThat(HeaderConventions.DEFAULT.isLeaving(headers)).isFalse();
    }

    @Test
    void ignoresStatementsWhoseHeadersHaveNoName() {
        headers.set(HeaderNames.RATE_LIMIT, "1").set(HeaderNames.LEAVING, "1");
        HeaderConventions none = HeaderConventions.builder().build();
        assertThat(none.rateLimitOf(headers)).isEqualTo(OptionalDouble.empty());
        assertThat(none.isLeaving(headers)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "true", "11"})
    void takesOnlyOneAsTheValueOfLeaving(String value) {
        headers.set(HeaderNames.LEAVING, value);
        assertThat(HeaderConventions.DEFAULT.isLeaving(headers)).isFalse();
        assertThat(HeaderConventions.DEFAULT.isLeaving(headers.set(HeaderNames.LEAVING, "1")))
                .isTrue();
    }
}
