package io.fuchsiastand.daemon.board;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.stream.Stream;

import io.fuchsiastand.daemon.store.JoinController;
import io.fuchsiastand.limit.TeamService;
import io.fuchsiastand.routing.BackendServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests the records that have methods of their own for equality. */
class ExplicitEqualityTest {

    @ParameterizedTest
    @ValueSource(
            classes = {Settings.Endpoint.class, JoinController.JoinRecord.class, BackendServer.class, TeamService.class
            })
    void recordsAreEqualIfAndOnlyIfAllComponentsAre(Class<?> type) throws Exception {
        RecordComponent[] components = type.getRecordComponents();
        Object record = create(type, -1);
        assertThat(create(type, -1)).isEqualTo(record);
        assertThat(create(type, -1).hashCode()).isEqualTo(record.hashCode());
        for (int changed = 0; changed < components.length; changed++) {
            assertThat(create(type, changed)).isNotEqualTo(record);
        }
    }

    private static Object create(Class<?> type, int changed) throws Exception {
        Class<?>[] types = Stream.of(type.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class<?>[]::new);
        Object[] values = new Object[types.length];
        for (int i = 0; i < types.length; i++) {
            values[i] = value(types[i], i == changed ? 1 : 0);
        }
        Constructor<?> constructor = type.getDeclaredConstructor(types);
        return constructor.newInstance(values);
    }

    private static Object value(Class<?> type, int number) {
        if (type.isEnum()) {
            return type.getEnumConstants()[number];
        }
        if (type == String.class) {
            return new StringBuilder("value ").append(number).toString();
        }
        if (type == int.class) {
            return number;
        }
        return type == long.class ? (Object) (long) number : (Object) (double) number;
    }
}
