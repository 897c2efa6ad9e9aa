package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a request whose outcome cannot be explained from its id. */
class ExplainCommandTest {
    private static final String TIME_PREFIX = "time=2026-05-03T19:28:";

    private final CliRunner cli;

    ExplainCommandTest(@TempDir Path directory) {
        cli = new CliRunner(directory, new FaultInjectingStore(), 7);
        cli.writeFile(
                "entry.log",
                TIME_PREFIX + "10Z level=INFO event=configuration-adopted version=4 earlier=0 source=host-2\n"
                        + TIME_PREFIX + "11Z level=INFO event=configuration-adopted version=5 earlier=4 source=host-2\n"
                        + "collector: " + TIME_PREFIX
                        + "20.500Z level=INFO event=request attempt=a-1 id=host-1-9 team=members"
                        + " route=pay attempts=i-2:SERVER_ERROR:sent:900us status=500 complete=true micros=4000\n"
                        + TIME_PREFIX
                        + "30Z level=INFO event=request attempt=a-2 id=host-1-10 reason=\"no \\\"=\\\" here\"\n"
                        + TIME_PREFIX
                        + "40Z level=INFO event=configuration-adopted version=6 earlier=5 source=host-2\n");
        cli.writeFile(
                "dispatcher.log",
                "a line of something else\n"
                        + TIME_PREFIX + "20.501Z level=INFO event=server-failed server=i-2 outcome=SERVER_ERROR\n"
                        + TIME_PREFIX + "20.502Z level=INFO event=server-failed server=i-3 outcome=TIMEOUT\n"
                        + TIME_PREFIX + "29Z level=INFO event=server-failed server=i-2 outcome=TIMEOUT\n"
                        + TIME_PREFIX + "21Z level=INFO event=team-claimed team=members by=host-3 given=true\n");
    }

    private List<String> lines(String command) {
        assertEquals(ExitCode.DONE, cli.run(command), cli.err());
        return cli.out()
                .lines()
                .map(line -> line.replaceAll(" level=.* event=", " "))
                .toList();
    }

    @Test
    void showsARequestWithTheStateOfItsHostAndTheEventsOfItsServers() {
        List<String> shown = lines("explain host-1-9 entry.log dispatcher.log");
        assertEquals(4, shown.size(), shown.toString());
        assertTrue(
                shown.get(0).startsWith("entry.log: " + TIME_PREFIX + "11Z configuration-adopted version=5"),
                shown.get(0));
        assertTrue(shown.get(1).startsWith("entry.log: " + TIME_PREFIX + "20.500Z request attempt=a-1"), shown.get(1));
        assertTrue(shown.get(2).startsWith("dispatcher.log: " + TIME_PREFIX + "20.501Z server-failed server=i-2"));
        assertTrue(shown.get(3).contains("team-claimed team=members"));
        assertEquals(shown, lines("explain a-1 entry.log dispatcher.log"), "the caller's id finds it as well");
    }

    @Test
    void parsesQuotedValues() {
        assertTrue(lines("explain a-2 entry.log").stream().anyMatch(line -> line.contains("no \\\"=\\\" here")));
    }

    @Test
    void refusesAnUnknownIdAndAnUnreadableFile() {
        assertEquals(ExitCode.REFUSED, cli.run("explain a-9 entry.log"));
        assertTrue(cli.err().contains("a-9: expected the id of a request in 1 files, found none"), cli.err());
        assertEquals(ExitCode.REFUSED, cli.run("explain a-1 missing.log"));
        assertTrue(cli.err().contains("missing.log: expected a readable file"), cli.err());
        assertEquals(ExitCode.USAGE, cli.run("explain a-1"));
    }
}
