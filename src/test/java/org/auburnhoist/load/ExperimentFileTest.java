package org.auburnhoist.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.auburnhoist.core.configuration.Finding;
import org.junit.jupiter.api.Test;

/** Guards against errors in experiment files that are not reported, and against shipped files that are invalid. */
class ExperimentFileTest {
    private static final String VALID = """
            name: test
            deployment: starglass
            hosts: 2
            settle: 0s
            duration: 3s
            seed: 7
            address-validity: 2s
            load: {rate-share: 0.1, lookup: 0.7, booking: 0.2, download: 0.1}
            faults:
              - {at: 1s, until: 2s, kind: gray, server: ledger-1, mode: fail-share, share: 0.5}
            expect:
              duplicates: 0
            """;

    private static List<String> findings(String text) {
        return ExperimentFile.read("test.yaml", text).getLeft().stream()
                .map(Finding::describe)
                .toList();
    }

    @Test
    void readsAnExperiment() {
        Experiment experiment = ExperimentFile.read("test.yaml", VALID).get();
        assertEquals(1, experiment.faults(Fault.Gray.class).size());
        assertEquals(List.of(new Expectation(Expectation.Measure.DUPLICATES, 0)), experiment.expectations());
    }

    @Test
    void reportsAllFindingsWithTheirPlaces() {
        String text = VALID.replace("hosts: 2", "hosts: many")
                .replace("until: 2s", "until: 1s")
                .replace("download: 0.1", "download: 0.3")
                .replace("duplicates: 0", "duplicate: 0");
        assertEquals(
                List.of(
                        "test.yaml:3:8: hosts: expected a whole number from 1 to 40, found \"many\"",
                        "test.yaml:8:62: load.download: expected shares of lookup, booking and download that add up to"
                                + " 1, found \"0.3\"",
                        "test.yaml:10:21: faults.until: expected a time after the fault's beginning, found \"1s\"",
                        "test.yaml:12:3: expect.duplicate: expected one of the known fields, found \"duplicate\""),
                findings(text));
    }

    @Test
    void reportsMissingFieldsAndMalformedText() {
        String missing = findings("name: x\n").get(0);
        assertTrue(missing.startsWith("test.yaml:1:1: deployment: expected one of starglass"), missing);
        String malformed = findings("name: [\n").get(0);
        assertTrue(malformed.contains("expected well-formed YAML"), malformed);
        assertEquals(List.of("test.yaml: expected an experiment, found nothing"), findings(""));
    }

    @Test
    void acceptsTheShippedExperiments() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("experiments"))) {
            List<Path> all = files.sorted().toList();
            assertEquals(13, all.size());
            for (Path file : all) {
                Either<List<Finding>, Experiment> read = ExperimentFile.read(file.toString(), Files.readString(file));
                assertTrue(read.isRight(), () -> read.getLeft().toString());
                assertEquals(file.getFileName().toString(), read.get().name() + ".yaml");
            }
        }
    }
}
