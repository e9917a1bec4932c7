package io.fuchsiastand.config;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fuchsiastand.routing.RouteTable;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationAdviceTest {

    private static final String TEAMS = "[teams.zermatt]\nplan = \"gold\"\n";
    private static final String PLANS =
            """
            [services.menu]
            floor = 0.5
            timeout = "2s"
            [[services.menu.routes]]
            host = "a.example"
            path = "/menu"
            open = false
            [plans.gold.menu]
            rate = 50
            burst = 10
            [plans.gold."*"]
            rate = 80
            burst = 20
            """;

    @Test
    void aSoundConfigurationHasNoWarnings() {
        assertThat(warnings(TEAMS, PLANS)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a.example\"      | a.example:80\" | plans:5: route a.example:80/menu never matches",
                "a.example\"      | *.example\"    | plans:5: route *.example/menu never matches",
                "path = \"/menu\" | path = \"/m?x\"| plans:6: route a.example/m?x never matches",
                "timeout = \"2s\" | timeout = \"0s\"| plans:3: a request without a deadline",
                "floor = 0.5      | floor = 1      | plans:2: failing backend servers of service 'menu'",
                "rate = 50        | rate = 0       | plans:9: a team of plan 'gold' is refused for good",
                "rate = 50        | rate = 90      | plans:9: the rate 90.0 is never reached",
                "burst = 10       | burst = 30     | plans:10: the burst 30.0 is never reached",
                "open = false     | open = true    | plans:8: the allowance is never used",
            })
    void namesTheEntryAndItsLine(String before, String after, String warning) {
        List<String> found = warnings(TEAMS, PLANS.replace(before.strip(), after.strip()));
        assertThat(found).hasSize(1);
        assertThat(found.get(0)).startsWith(warning);
    }

    @Test
    void namesAPlanWithoutTeamAndAServiceThatNoTeamMayCall() {
        String other = PLANS
                + "[services.till]\n[[services.till.routes]]\npath = \"/till\"\n[plans.tin.till]\nrate = 1\nburst = 1\n";
        assertThat(warnings(TEAMS, other.replace("\"*\"", "menu2").replace("[plans.gold.menu2]", "[plans.lead.menu]")))
                .containsExactly(
                        "plans:14: no team may call service 'till': no plan of a team names it or '*'",
                        "plans:11: no team has plan 'lead'",
                        "plans:17: no team has plan 'tin'");
        assertThat(warnings("[teams]\n", PLANS))
                .contains("teams: there is no team, so that only open routes are served");
    }

    @Test
    void namesABurstThatTheBackendServersCannotHold() {
        String plans = PLANS.replace("burst = 10", "burst = 20");
        assertThat(warnings(TEAMS, plans, deployment(1, Map.of("menu", new Surroundings.Room(1, 4)))))
                .isEmpty();
        assertThat(warnings(TEAMS, plans, deployment(1, Map.of("menu", new Surroundings.Room(1, 3)))))
                .containsExactly(
                        "plans:13: a burst of 20.0 calls finds no room: all services run 3 at a time, and 16 can wait",
                        "plans:10: a burst of 20.0 calls finds no room: service 'menu' runs 3 at a time, and 16 can wait");
        assertThat(warnings(TEAMS, plans, deployment(1, Map.of()))).isEmpty();
    }

    @Test
    void namesATeamInForceWithoutAKeyButNoNewTeam() {
        assertThat(warnings(TEAMS + "[teams.locarno]\nplan = \"gold\"\n", PLANS, deployment(0, Map.of())))
                .containsExactly("teams:1: no request can be one of team 'zermatt': it has no valid key");
    }

    private static Surroundings deployment(int keys, Map<String, Surroundings.Room> rooms) {
        return new Surroundings(
                read(TEAMS, PLANS).withVersion(1), keys == 0 ? Map.of() : Map.of("zermatt", keys), rooms);
    }

    // A daemon encodes, decodes and indexes each version that it takes.
    @Property(tries = 200)
    void aDaemonTakesWhatIsReadWithoutProblems(
            @ForAll @IntRange(max = 9) int routes,
            @ForAll("texts") String path,
            @ForAll("texts") String host,
            @ForAll double rate) {
        StringBuilder plans = new StringBuilder("[services.menu]\n");
        for (int i = 0; i < routes; i++) {
            plans.append("[[services.menu.routes]]\npath = \"/")
                    .append(path)
                    .append(i % 7)
                    .append("\"\nhost = \"")
                    .append(host)
                    .append("\"\n");
        }
        plans.append("[plans.gold.menu]\nrate = ").append(rate).append("\nburst = 5\n");
        ConfigurationReader.Result r =
                ConfigurationReader.read(new TomlFile("teams", TEAMS), new TomlFile("plans", plans.toString()));
        if (r.problems().isEmpty()) {
            ConfigurationAdvice.warnings(
                    r.configuration(),
                    new TomlFile("teams", TEAMS),
                    new TomlFile("plans", plans.toString()),
                    Surroundings.UNKNOWN);
            Map<String, byte[]> chunks = new TreeMap<>(ConfigurationCodec.split(r.configuration()));
            Configuration decoded = ConfigurationCodec.join(1, List.copyOf(chunks.values()));
            assertThat(decoded).isEqualTo(r.configuration().withVersion(1));
            assertThat(new RouteTable(decoded)).isNotNull();
        }
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.strings().withChars("ab/.%*?# -\u00e9").ofMaxLength(8);
    }

    private static List<String> warnings(String teams, String plans) {
        return warnings(teams, plans, Surroundings.UNKNOWN);
    }

    private static List<String> warnings(String teams, String plans, Surroundings deployment) {
        return ConfigurationAdvice.warnings(
                        read(teams, plans), new TomlFile("teams", teams), new TomlFile("plans", plans), deployment)
                .stream()
                .map(Problem::toString)
                .toList();
    }

    private static Configuration read(String teams, String plans) {
        ConfigurationReader.Result r =
                ConfigurationReader.read(new TomlFile("teams", teams), new TomlFile("plans", plans));
        assertThat(r.problems()).isEmpty();
        return r.configuration();
    }
}
