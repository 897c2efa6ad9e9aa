package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.auburnhoist.core.Refusal;
import org.junit.jupiter.api.Test;

/** Guards against an operators' page that lacks a refusal, a command or a flag, or contradicts the code. */
class OperationsPageTest {
    private final String page;

    OperationsPageTest() throws IOException {
        page = Files.readString(Path.of("docs/OPERATIONS.md"));
    }

    @Test
    void describesEveryRefusalWithItsStatusAndOutcome() {
        for (Refusal refusal : Refusal.values()) {
            String outcome = refusal.outcome().headerValue().replace('-', ' ');
            String row = "| `" + refusal.code() + "` | " + refusal.status() + " | " + outcome + " |";
            assertTrue(page.contains(row), row);
        }
    }

    @Test
    void describesEveryCommandFlagAndExitCode() {
        for (Command command : Commands.all()) {
            assertTrue(page.contains(command.name()), command.name());
            command.settings().forEach(setting -> assertTrue(page.contains("--" + setting.flag()), setting.flag()));
        }
        for (ExitCode code : ExitCode.values()) {
            assertTrue(page.contains("\n| " + code.status() + " | "), code.name());
        }
    }
}
