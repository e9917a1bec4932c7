package io.fuchsiastand.tools;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.ConfigurationReader;
import io.fuchsiastand.config.Json;
import io.fuchsiastand.config.Surroundings;
import io.fuchsiastand.config.TomlFile;
import io.fuchsiastand.key.KeyEntry;
import io.fuchsiastand.standin.MemoryObjectStore;
import io.fuchsiastand.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class FuchsiactlTest {

    private static final String TEAMS = "[teams.zermatt]\nplan = \"gold\"\n";
    private static final String PLANS =
            """
            [services.menu]
            [[services.menu.routes]]
            path = "/menu"
            [plans.gold.menu]
            rate = 50
            burst = 10
            """;

    @TempDir
    private Path directory;

    private final MemoryObjectStore objects = new MemoryObjectStore();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private PlatformStandin platform;

    @BeforeEach
    void startPlatform() throws Exception {
        platform = new PlatformStandin("127.0.0.1", 0, objects);
        write("teams.toml", TEAMS);
        write("plans.toml", PLANS);
    }

    @AfterEach
    void stopPlatform() throws Exception {
        platform.close();
    }

    @Test
    void appliesTheFilesAsNumberedVersionsAndShowsDifferences() throws Exception {
        assertThat(runWithFiles("apply")).isEqualTo(0);
        assertThat(out()).contains("version 1 is in force");
        assertThat(runWithFiles("apply")).isEqualTo(0);
        assertThat(out()).contains("nothing to change; version 1 stays in force");
        write("plans.toml", PLANS.replace("rate = 50", "rate = 60"));
        assertThat(runWithFiles("diff")).isEqualTo(0);
        assertThat(out()).contains("~ plan gold");
        assertThat(runWithFiles("apply")).isEqualTo(0);
        assertThat(out()).contains("version 2 is in force");
    }

    @Test
    void reportsAConflictAndTheDifferencesIfTheVersionIsNotTheExpectedOne() throws Exception {
        runWithFiles("apply");
        write("plans.toml", PLANS.replace("rate = 50", "rate = 60"));
        assertThat(run(
                        "apply",
                        "--platform",
                        address(),
                        "--teams",
                        pathOf("teams.toml"),
                        "--plans",
                        pathOf("plans.toml"),
                        "--expect",
                        "0"))
                .isEqualTo(Fuchsiactl.EXIT_CONFLICT);
        assertThat(err()).contains("FS-9004");
        assertThat(err()).contains("~ plan gold");
    }

    @Test
    void writesNothingIfAFileHasAProblem() throws Exception {
        write("plans.toml", PLANS.replace("burst = 10", "burst = 0"));
        assertThat(runWithFiles("apply")).isEqualTo(Fuchsiactl.EXIT_FAILURE);
        assertThat(err()).contains("plans.toml:6: 'burst'");
        assertThat(objects.list("").objects()).isEmpty();
    }

    @Test
    void checksTheFilesAndShowsWhatCallersWillSee() throws Exception {
        runWithFiles("apply");
        run("key", "give", "zermatt", "--platform", address());
        write("plans.toml", PLANS.replace("rate = 50", "rate = 0").replace("/menu", "/menus"));
        assertThat(runWithFiles("check")).isEqualTo(0);
        assertThat(out()).contains("plans.toml:5: a team of plan 'gold' is refused for good");
        assertThat(out()).contains("differences from version 1: 3");
        assertThat(out()).contains("- route */menu; its requests go to a shorter route or get 404 (FS-4040)");
        assertThat(out()).contains("+ route */menus; its requests go to service menu");
        assertThat(out()).contains("its teams get 429 (FS-4290) sooner");
        assertThat(out()).contains("0 errors, 1 warnings");
    }

    @Test
    void checkTellsScriptsWhetherThereAreErrorsOrWarnings() throws Exception {
        String[] check = {"check", "--teams", pathOf("teams.toml"), "--plans", pathOf("plans.toml"), "--strict"};
        assertThat(run(check)).isEqualTo(0);
        write("plans.toml", PLANS.replace("rate = 50", "rate = 0"));
        assertThat(run(check)).isEqualTo(Fuchsiactl.EXIT_WARNINGS);
        write("plans.toml", PLANS.replace("burst = 10", "burst = 0"));
        assertThat(run(check)).isEqualTo(Fuchsiactl.EXIT_FAILURE);
        assertThat(out()).contains("error");
        assertThat(out()).contains("plans.toml:6: 'burst'");
    }

    @Test
    void checkComparesWithWhatADaemonHasInForce() throws Exception {
        String plans = PLANS.replace("[[services", "queue = 0\n[[services");
        write("plans.toml", plans);
        Configuration inForce = ConfigurationReader.read(
                        new TomlFile("teams", TEAMS), new TomlFile("plans", plans.replace("rate = 50", "rate = 60")))
                .configuration();
        String surroundings = Json.writeIndented(
                new Surroundings(inForce.withVersion(7), Map.of(), Map.of("menu", new Surroundings.Room(2, 9))));
        try (DaemonStandin daemon = new DaemonStandin().answer("/configuration", surroundings)) {
            String[] check = {
                "check",
                "--json",
                "--strict",
                "--daemon",
                daemon.address(),
                "--teams",
                pathOf("teams.toml"),
                "--plans",
                pathOf("plans.toml")
            };
            int exit = run(check);
            assertThat(err()).isEmpty();
            assertThat(exit).isEqualTo(Fuchsiactl.EXIT_WARNINGS);
            JsonNode report = Json.read(out.toByteArray(), JsonNode.class);
            assertThat(report.path("comparedWith").asLong()).isEqualTo(7);
            assertThat(report.path("changes").size()).isEqualTo(1);
            assertThat(report.path("warnings").findValuesAsText("message"))
                    .containsExactly(
                            "a burst of 10.0 calls finds no room: service 'menu' runs 9 at a time, and 0 can wait",
                            "no request can be one of team 'zermatt': it has no valid key");
            assertThat(runWithFiles("check", "--daemon", daemon.address())).isEqualTo(Fuchsiactl.EXIT_USAGE);
        }
    }

    @Test
    void checkNamesATeamWithoutAKeyOnThePlatform() {
        runWithFiles("apply");
        runWithFiles("check");
        assertThat(out()).contains("teams.toml:1: no request can be one of team 'zermatt'");
        run("key", "give", "zermatt", "--platform", address());
        runWithFiles("check");
        assertThat(out()).contains("0 errors, 0 warnings");
    }

    @Test
    void givesExplainsWithdrawsAndListsKeys() {
        runWithFiles("apply");
        assertThat(run("key", "give", "zermatt", "--platform", address())).isEqualTo(0);
        String[] words = out().strip().split("\\s+");
        String key = words[words.length - 1];
        String id = words[1];
        assertThat(new String(objects.list("keys/").objects().get(0).value(), StandardCharsets.UTF_8))
                .doesNotContain(key);
        run("explain", "POST", "/menu/x", "--key", key, "--platform", address());
        assertThat(out()).contains("plan gold allows 50.0 a second, burst 10.0");
        assertThat(run("key", "withdraw", id, "--platform", address())).isEqualTo(0);
        run("key", "list", "--platform", address());
        assertThat(out()).contains("withdrawn");
        run("explain", "GET", "/menu/x", "--key", key, "--platform", address());
        assertThat(out()).contains("FS-4010");
    }

    @Test
    void explainsHowADaemonWouldChooseABackendServerAndWhereTheCallWouldStand() throws Exception {
        write("plans.toml", PLANS.replace("path = \"/menu\"", "path = \"/menu\"\nopen = true"));
        runWithFiles("apply");
        String backends =
                "{\"backends\":[{\"service\":\"menu\",\"id\":\"m1\",\"host\":\"h1\",\"state\":\"serving\",\"weight\":1}]}";
        String choice =
                """
                {"byWork":true,"services":[{"service":"menu","costMillis":200,
                 "candidates":[{"id":"m1","host":"h1","drawn":true,"finishMillis":512.4},{"id":"m2","host":"h2"}],
                 "queues":[{"id":"m1","before":2,"waitMillis":310,"refusal":"FS-5031"}]}]}
                """;
        try (DaemonStandin daemon =
                new DaemonStandin().answer("/status", backends).answer("/explain", choice)) {
            run("explain", "GET", "/menu/a b", "--platform", address(), "--daemon", daemon.address());
            assertThat(daemon.requests.get(1).getRawQuery()).contains("path=%2Fmenu%2Fa%20b");
        }
        assertThat(out()).contains("such a call usually holds a slot for 200 ms");
        assertThat(out()).contains("may be chosen: m1 on h1, expected end after 512 ms");
        assertThat(out()).doesNotContain("m2");
        assertThat(out()).contains("2 calls before it, slot after 310 ms, refused there with FS-5031");
    }

    // One key ID in 64 begins with a hyphen, like an option.
    @Test
    void withdrawsAKeyWhoseIdBeginsWithAHyphen() {
        KeyEntry entry = new KeyEntry("-abcdefghij_" + "A".repeat(31), "zermatt", Instant.EPOCH, null);
        new KeyStore(objects).updateBucket(entry.digest(), b -> b.with(entry));

        assertThat(run("key", "withdraw", "-abcdefghij_", "--platform", address()))
                .isEqualTo(0);
        run("key", "list", "--platform", address());
        assertThat(out()).contains("-abcdefghij_");
        assertThat(out()).contains("withdrawn");
    }

    @Test
    void refusesAnUnknownOptionOfTheLengthOfAKeyId() {
        assertThat(run("key", "list", "--unknown-op", "--platform", address())).isEqualTo(Fuchsiactl.EXIT_USAGE);
        assertThat(err()).contains("FS-9008");
    }

    @Test
    void refusesToGiveAKeyToAnUnknownTeam() {
        runWithFiles("apply");
        assertThat(run("key", "give", "nobody", "--platform", address())).isEqualTo(Fuchsiactl.EXIT_FAILURE);
        assertThat(err()).contains("FS-9007");
    }

    @Test
    void reportsInvalidCommandLinesAndPrintsHelp() {
        assertThat(run("dance")).isEqualTo(Fuchsiactl.EXIT_USAGE);
        assertThat(err()).contains("FS-9008 no such command: dance");
        assertThat(run("get")).isEqualTo(Fuchsiactl.EXIT_USAGE);
        assertThat(run("get", "--platform", "nonsense")).isEqualTo(Fuchsiactl.EXIT_USAGE);
        assertThat(run("--help")).isEqualTo(0);
        assertThat(run("key", "give", "--help")).isEqualTo(0);
    }

    @Test
    void printsTheConfigurationAsJson() {
        runWithFiles("apply");
        run("get", "--platform", address(), "--output", "JSON");
        assertThat(out()).contains("\"rate\" : 50.0");
    }

    private int runWithFiles(String command, String... further) {
        String[] args = {
            command, "--platform", address(), "--teams", pathOf("teams.toml"), "--plans", pathOf("plans.toml")
        };
        return run(Stream.of(args, further).flatMap(Stream::of).toArray(String[]::new));
    }

    private int run(String... args) {
        out.reset();
        err.reset();
        return Fuchsiactl.run(args, new PrintStream(out, true), new PrintStream(err, true));
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private String address() {
        return "127.0.0.1:" + platform.port();
    }

    private String pathOf(String name) {
        return directory.resolve(name).toString();
    }

    private void write(String name, String text) throws Exception {
        Files.writeString(directory.resolve(name), text);
    }
}
