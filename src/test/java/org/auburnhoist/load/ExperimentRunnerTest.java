package org.auburnhoist.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.emulator.GrayMode;
import org.junit.jupiter.api.Test;

/** Guards against an experiment that cannot run, against bookings that run twice, and against damaged answers. */
class ExperimentRunnerTest {
    private static final List<Expectation> NO_VIOLATIONS = List.of(
            new Expectation(Expectation.Measure.DUPLICATES, 0),
            new Expectation(Expectation.Measure.LEAKED_KEYS, 0),
            new Expectation(Expectation.Measure.INCOMPLETE_ANSWERS, 0),
            new Expectation(Expectation.Measure.CROSSED_ANSWERS, 0),
            new Expectation(Expectation.Measure.OVER_RATE_ADMISSIONS, 0));

    private static Experiment experiment(List<Fault> faults) {
        return new Experiment(
                "tiny",
                "starglass",
                2,
                Duration.ZERO,
                Duration.ofSeconds(3),
                7,
                Duration.ofSeconds(2),
                0.1,
                ClassShares.STANDARD,
                faults,
                NO_VIOLATIONS);
    }

    @Test
    void runsOperationsOnceWhileServersTruncateAnswers() throws IOException, InterruptedException {
        List<Fault> faults = new ArrayList<>();
        for (int server = 1; server <= 15; server++) {
            GrayMode mode = new GrayMode.TruncateBody(0.2);
            faults.add(new Fault.Gray(Duration.ZERO, Duration.ofSeconds(3), "ledger-" + server, mode));
        }
        ExperimentResult result = ExperimentRunner.run(experiment(faults), line -> {});
        assertTrue(result.totals().good() > 0, () -> ExperimentReport.summary(result));
        assertTrue(result.passed(), () -> ExperimentReport.summary(result));
        assertEquals(3, result.classes().size());
        assertTrue(ExperimentReport.json(result).contains("\"duplicates\""));
        String page = ExperimentReport.html(result);
        assertTrue(page.contains("<svg") && page.contains("ledger-15"));
        assertFalse(page.contains("{body}"));
    }

    @Test
    void treatsAnEventThatDidNotOccurAsMissed() {
        assertFalse(new Expectation(Expectation.Measure.DETECTION_SECONDS, 5).isMetBy(Double.NaN));
        assertTrue(new Expectation(Expectation.Measure.WORST_TEAM_GOODPUT_PERCENT, 99).isMetBy(99.5));
    }
}
