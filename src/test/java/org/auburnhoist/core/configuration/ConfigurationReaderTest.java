package org.auburnhoist.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against errors in a file that the reader accepts or reports at the wrong location. */
class ConfigurationReaderTest {
    @Test
    void readsEveryField() {
        FleetConfiguration configuration = Samples.configuration();
        assertEquals(7, configuration.version());
        assertEquals(new Team("club", 0.5, 3, 1), configuration.teams().get("club"));
        assertTrue(configuration.keys().get("club-old").withdrawn());
        assertEquals(
                new Server("catalogue-2", "[::1]:21002", "hall-2", true),
                configuration.services().get("catalogue").servers().get(1));
        Route reserve = configuration.routes().get(1);
        assertEquals(TrafficClass.BOOKING, reserve.trafficClass());
        assertEquals(Set.of("school"), reserve.teams());
        assertEquals(Duration.ofMillis(800), reserve.timeout());
        assertTrue(configuration.routes().get(2).open());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "rate-per-second: 0.5 | rate-per-second: 0 | 5:22 teams.club.rate-per-second",
                "rate-per-second: 0.5 | rate-per-second: -3 | 5:22 teams.club.rate-per-second",
                "rate-per-second: 0.5 | rate-per-second: .nan | 5:22 teams.club.rate-per-second",
                "burst: 3 | burst: 3.5 | 6:12 teams.club.burst",
                "burst: 3 | burst: '3' | 6:12 teams.club.burst",
                "burst: 3 | burts: 3 | 5:5 teams.club.burst; 6:5 teams.club",
                "burst: 3 | weight: 3 | 5:5 teams.club.burst; 7:5 teams.club.weight",
                "team: school, | team: scool, | 9:24 keys.school-north.team",
                "withdrawn: true | withdrawn: yes | 10:120 keys.club-old.withdrawn",
                "floor: 0.7 | floor: 1.01 | 15:12 services.catalogue.floor",
                "slots-per-server: 6 | slots-per-server: 331 | 14:29 services.catalogue.connections-per-server",
                "127.0.0.1:21001 | upstream.example:80 | 18:30 services.catalogue.servers.catalogue-1.address",
                "127.0.0.1:21001 | 127.0.0.1:70000 | 18:30 services.catalogue.servers.catalogue-1.address",
                "127.0.0.1:21001 | '[::1]:21002' | 12:3 services.catalogue.servers.catalogue-2",
                "methods: [GET, HEAD] | methods: [GET, DELETE] | 21:21 routes.search.methods",
                "methods: [POST] | methods: [] | 23:22 routes.reserve.methods",
                "path: /telescopes | path: /a/../b | 21:40 routes.search.path",
                "path: /, | path: /.auburnhoist/x, | 25:33 routes.hours.path",
                "methods: [POST] | methods: [GET] | 23:22 routes.reserve.methods",
                "callers: [school] | callers: [school, museum] | 24:31 routes.reserve.callers",
                "callers: [school] | callers: anyone | 24:22 routes.reserve.callers",
                "timeout: 1m | timeout: 11m | 25:97 routes.hours.timeout",
            })
    void reportsTheFaultAtItsLocation(String valid, String faulty, String locations) {
        assertEquals(locations, locations(Samples.VALID.replaceFirst(Pattern.quote(valid), faulty)));
    }

    @Test
    void reportsAllFaultsTogetherInTheOrderOfTheFile() {
        String text = Samples.VALID
                .replace("burst: 40", "burst: 0")
                .replace("floor: 0.7", "floor: 2")
                .replace("timeout: 2s", "timeout: 2h");
        assertEquals(
                "3:40 teams.school.burst; 15:12 services.catalogue.floor; 22:42 routes.search.timeout",
                locations(text));
    }

    @Test
    void reportsTheMethodsThatALookupAllows() {
        String text = Samples.VALID.replace("[GET, HEAD]", "[POST]");
        String finding = Samples.read(text).getLeft().get(0).describe();
        assertTrue(finding.contains("for class lookup only GET, HEAD, OPTIONS, found POST"), finding);
    }

    @Test
    void neverShowsASecretEnteredInPlaceOfItsHash() {
        String text = Samples.VALID.replace(Sha256.hex(Samples.SECRET), "plain-secret");
        assertFalse(Samples.read(text).getLeft().toString().contains("plain-secret"));
    }

    @ParameterizedTest
    @CsvSource({"password", "''", "123456"})
    void refusesHashesOfSecretsThatAreEasilyGuessed(String secret) {
        String text = Samples.VALID.replace(Sha256.hex(Samples.SECRET), Sha256.hex(secret));
        assertEquals("9:47 keys.school-north.secret-sha256", locations(text));
    }

    @Test
    void refusesOneSecretForTwoKeys() {
        String text = Samples.VALID.replace(Sha256.hex(Samples.SECRET), Sha256.hex("fixture-secret-of-club"));
        assertEquals("10:3 keys.club-old.secret-sha256", locations(text));
    }

    @Test
    void refusesADeclarationRepeatedInAnotherFile() {
        List<Finding> findings = ConfigurationReader.read(
                        1,
                        List.of(
                                ConfigurationFile.of("a.yaml", "teams: {t: {rate-per-second: 1, burst: 1, weight: 1}}"),
                                ConfigurationFile.of(
                                        "b.yaml", "teams: {t: {rate-per-second: 9, burst: 1, weight: 1}}")))
                .getLeft();
        assertEquals(1, findings.size());
        assertEquals("b.yaml", findings.get(0).file());
        assertTrue(findings.get(0).found().contains("a.yaml:1"));
    }

    @Test
    void reportsNoUnknownTeamsIfTheFileOfTeamsIsUnreadable() {
        String keys = "keys: {k: {team: t, secret-sha256: " + "ab".repeat(32) + "}}";
        for (String teams : List.of("teams: [", "team: {}", "teams:", "x")) {
            List<ConfigurationFile> files =
                    List.of(ConfigurationFile.of("teams.yaml", teams), ConfigurationFile.of("keys.yaml", keys));
            List<Finding> findings = ConfigurationReader.read(1, files).getLeft();
            assertEquals(
                    List.of("teams.yaml"), findings.stream().map(Finding::file).toList());
        }
    }

    @Test
    void readsChangedFilesTogetherWithUnchangedFiles() {
        ConfigurationFile teams =
                ConfigurationFile.of("a.yaml", "teams: {t: {rate-per-second: 1, burst: 1, weight: 1}}");
        String key = "keys: {k: {team: %s, secret-sha256: " + "ab".repeat(32) + "}}";
        ConfigurationReader reader = new ConfigurationReader();
        assertTrue(reader.readIncrementally(1, List.of(teams)).isRight());
        ConfigurationFile faulty = ConfigurationFile.of("b.yaml", key.formatted("x"));
        assertEquals(
                1, reader.readIncrementally(2, List.of(teams, faulty)).getLeft().size());
        ConfigurationFile valid = ConfigurationFile.of("b.yaml", key.formatted("t"));
        FleetConfiguration configuration =
                reader.readIncrementally(3, List.of(valid, teams)).get();
        assertEquals(3, configuration.version());
        assertEquals(ConfigurationReader.read(3, List.of(teams, valid)).get(), configuration);
        assertEquals(1, reader.readIncrementally(4, List.of(valid)).getLeft().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "teams: &a {} | 1:8 ",
                "{teams: {}, keys: *a} | 1:19 ",
                "teams: !!map {} | 1:8 ",
                "[[[[[[[[[[1]]]]]]]]]] | 1:9 ",
                "--- {} ... | 1:8 ",
                "teams: [ | 1:9 ",
                "teams: 5 | 1:8 teams",
            })
    void refusesAmbiguousOrInvalidYaml(String text, String locations) {
        assertEquals(locations.strip(), locations(text).strip());
    }

    @Test
    void refusesFilesBeyondTheLimits() {
        byte[] large = new byte[ConfigurationReader.MAX_FILE_BYTES + 1];
        assertTrue(ConfigurationReader.read(1, List.of(new ConfigurationFile("a.yaml", large)))
                .isLeft());
        assertTrue(ConfigurationReader.read(1, List.of(ConfigurationFile.of("../a.yaml", "")))
                .isLeft());
        assertTrue(ConfigurationReader.read(1, List.of(new ConfigurationFile("a.yaml", new byte[] {(byte) 0xff})))
                .isLeft());
    }

    private static String locations(String text) {
        List<String> locations = Samples.read(text).getLeft().stream()
                .map(finding -> finding.line() + ":" + finding.column() + " " + finding.path())
                .toList();
        return String.join("; ", locations);
    }
}
