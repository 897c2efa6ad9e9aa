package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.core.configuration.KeyCheck;
import org.auburnhoist.core.configuration.KeyRing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against examples that the program does not accept, or that differ from the documented deployments. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("examples");
    private static final Pattern KEY_ROW =
            Pattern.compile("\\| `([a-z0-9-]+)` \\| \\S+ \\| `(\\S+)` \\| (withdrawn)? ?\\|");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "starglass|no findings: 8 teams, 9 keys (1 withdrawn), 3 services with 30 servers, 9 routes",
                "rosewood|no findings: 8 teams, 9 keys (1 withdrawn), 3 services with 34 servers, 11 routes"
            })
    void passTheCheck(String name, String report) {
        CliRunner cli = new CliRunner(EXAMPLES.resolve(name), new FaultInjectingStore(), 1);
        assertEquals(ExitCode.DONE, cli.run("check teams.yaml keys.yaml services.yaml routes.yaml"), cli.err());
        assertEquals(report, cli.out().strip());
    }

    @Test
    void documentTheSecretOfEachKey() throws IOException {
        List<ConfigurationFile> files = new ArrayList<>();
        for (String name : List.of("starglass", "rosewood")) {
            for (String section : List.of("teams", "keys")) {
                Path path = EXAMPLES.resolve(name).resolve(section + ".yaml");
                files.add(new ConfigurationFile(name + "-" + section + ".yaml", Files.readAllBytes(path)));
            }
        }
        KeyRing ring =
                KeyRing.of(ConfigurationReader.read(1, files).get().keys().values());
        Matcher rows = KEY_ROW.matcher(Files.readString(EXAMPLES.resolve("README.md")));
        int count = 0;
        while (rows.find()) {
            KeyCheck check = ring.check("Bearer " + rows.group(1) + "." + rows.group(2));
            Class<?> expected = rows.group(3) == null ? KeyCheck.Accepted.class : KeyCheck.Withdrawn.class;
            assertInstanceOf(expected, check, rows.group(1));
            count++;
        }
        assertTrue(count == 18, "documented keys " + count);
    }
}
