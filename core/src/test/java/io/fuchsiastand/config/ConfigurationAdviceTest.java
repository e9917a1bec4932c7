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
                    r.configuration(), new TomlFile("teams", TEAMS), new TomlFile("plans", plans.toString()));
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
        TomlFile t = new TomlFile("teams", teams);
        TomlFile p = new TomlFile("plans", plans);
        ConfigurationReader.Result r = ConfigurationReader.read(t, p);
        assertThat(r.problems()).isEmpty();
        return ConfigurationAdvice.warnings(r.configuration(), t, p).stream()
                .map(Problem::toString)
                .toList();
    }
}
