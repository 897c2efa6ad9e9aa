package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a command that fails when a flag is left out. */
class ExperimentCommandTest {
    private static final String EXPERIMENT = """
            name: small
            deployment: rosewood
            hosts: 3
            settle: 1s
            duration: 2s
            seed: 7
            address-validity: 10s
            load:
              rate-share: 0.1
              lookup: 1
              booking: 0
              download: 0
            faults: []
            expect:
              duplicates: 0
            """;

    @TempDir
    Path directory;

    @Test
    void anExperimentRunsWithoutFlags() {
        CliRunner operator = new CliRunner(directory, new FaultInjectingStore(), 1).writeFile("small.yaml", EXPERIMENT);
        assertEquals(ExitCode.DONE, operator.run("experiment small.yaml"), operator.err());
    }

    @Test
    void everyFlagWithoutAValueMayBeLeftOut() {
        for (Command command : Commands.all()) {
            List<Setting<?>> flags = command.settings().stream()
                    .filter(setting -> !setting.hasValue())
                    .toList();
            flags.forEach(flag -> assertTrue(flag.defaultValue().isPresent(), command.name() + " --" + flag.flag()));
        }
    }
}
