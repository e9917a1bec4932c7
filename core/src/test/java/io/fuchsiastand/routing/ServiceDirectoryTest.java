package io.fuchsiastand.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.ManualClock;
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

    // The load: uploads in a data centre whose slots are all taken while another data centre is idle. A large body
    // is sent there only when calls would have to wait long in the own one.
    @Test
    void keepsLargeBodiesInTheOwnDataCentreWhileAllItsSlotsAreTaken() {
        directory.update(host(server("near", 1, BackendState.SERVING, 1)));
        directory.update(new HostRecord("far-h1", List.of(server("far", 1, BackendState.SERVING, 1))));
        for (int i = 0; i < 3; i++) {
            find("near").begin();
        }

        assertThat(picksOf(ServiceDirectory.MAX_LOCAL_UTILISATION)).contains("far");
        assertThat(picksOf(ServiceDirectory.MAX_LOCAL_UTILISATION_FOR_LARGE_BODIES))
                .containsExactly("near");
        find("near").begin();
        assertThat(picksOf(ServiceDirectory.MAX_LOCAL_UTILISATION_FOR_LARGE_BODIES))
                .contains("far");
    }

    @Test
    void sendsNoFurtherCallsByWorkToAHostThatAnswersNone() {
        ManualClock time = new ManualClock();
        ServiceDirectory d = new ServiceDirectory("dc0", time, ServiceDirectoryTest::member, s -> Optional.empty());
        d.update(host(server("a", 1, BackendState.SERVING, 1), server("b", 1, BackendState.SERVING, 1)));
        d.find("h0", "a").orElseThrow().begin(100, time.nanoTime());
        time.advance(Duration.ofSeconds(10));
        d.find("h0", "b").orElseThrow().recordWork(10, 0, 0, time.nanoTime());
        Random random = new Random(1);
        for (int i = 0; i < 20; i++) {
            Candidate c = d.pick("menu", Set.of(), 0, 100, random).orElseThrow();
            assertThat(c.server().id()).isEqualTo("b");
        }
    }

    private Set<String> picksOf(double maxLocalUtilisation) {
        Random random = new Random(1);
        return IntStream.range(0, 50)
                .mapToObj(i -> directory
                        .pick("menu", Set.of(), maxLocalUtilisation, 0, random)
                        .orElseThrow()
                        .server()
                        .id())
                .collect(Collectors.toSet());
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
        String dataCentre = host.startsWith("far") ? "dc1" : "dc0";
        return Optional.of(new Member(host, "10.0.0.1", 8081, 8082, dataCentre, 1, MemberState.ALIVE, 0));
    }
}
