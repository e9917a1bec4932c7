package io.fuchsiastand.routing;

import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalDouble;

import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ServiceDirectoryTest {

    private final ServiceDirectory directory =
            new ServiceDirectory("dc0", Clock.system(), ServiceDirectoryTest::member, s -> Optional.empty());

    @Test
    void findsTheRateLimitOfABackendServerAgainAfterItsHostPublishedNoServers() {
        directory.update(host(server("a", 1, BackendState.SERVING, 1)));
        find("a").recordRateLimit(OptionalDouble.of(2));
        directory.update(host());
        directory.update(host(server("a", 1, BackendState.STARTING, 1)));
        assertThat(find("a").rateLimit()).isEqualTo(OptionalDouble.of(2));
    }

    @Test
    void startsWithoutARateLimitWhenAnotherProcessHasTheNameOfTheBackendServer() {
        directory.update(host(server("a", 1, BackendState.SERVING, 1)));
        find("a").recordRateLimit(OptionalDouble.of(2));
        directory.update(host(server("a", 2, BackendState.STARTING, 1)));
        assertThat(find("a").rateLimit()).isEqualTo(OptionalDouble.empty());
    }

    @Test
    void keepsAnEjectedBackendServerInRotationWhileTheOthersNameRateLimits() {
        directory.update(host(
                server("ejected", 1, BackendState.EJECTED, 1),
                server("a", 1, BackendState.SERVING, 0.25),
                server("b", 1, BackendState.SERVING, 0.25)));
        assertThat(find("ejected").weight()).isEqualTo(Rotation.FLOOR_WEIGHT);
        directory.update(host(
                server("ejected", 1, BackendState.EJECTED, 1),
                server("a", 1, BackendState.SERVING, 1),
                server("b", 1, BackendState.SERVING, 1)));
        assertThat(find("ejected").weight()).isEqualTo(0);
    }

    @Test
    void countsARateLimitedBackendServerWithTheSlotsThatItCanUse() {
        directory.update(host(
                server("ejected", 1, BackendState.EJECTED, 0.25),
                server("a", 1, BackendState.SERVING, 1),
                server("b", 1, BackendState.SERVING, 0.5)));
        assertThat(find("ejected").weight()).isEqualTo(0);
    }

    private Candidate find(String id) {
        return directory.find("h0", id).orElseThrow();
    }

    private static HostRecord host(BackendServer... servers) {
        return new HostRecord("h0", Arrays.asList(servers));
    }

    private static BackendServer server(String id, long incarnation, BackendState state, double weight) {
        return new BackendServer(id, "menu", 3, state, weight, state == BackendState.EJECTED ? 50 : 0, incarnation);
    }

    private static Optional<Member> member(String host) {
        return Optional.of(new Member(host, "10.0.0.1", 8081, 8082, "dc0", 1, MemberState.ALIVE, 0));
    }
}
