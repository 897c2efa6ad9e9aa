package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.auburnhoist.cli.FaultInjectingStore.HeadWriteOutcome;
import org.auburnhoist.store.StoreKeys;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against changes that are lost, reported wrongly, or applied only partially. */
class ChangeCommandsTest {
    private static final String TEAMS = "teams:\n  school: {rate-per-second: 5, burst: 10, weight: 1}\n";

    @TempDir
    private Path directory;

    private final FaultInjectingStore store = new FaultInjectingStore();
    private CliRunner cli;

    @BeforeEach
    void prepare() {
        cli = operator("amina", 1);
    }

    private CliRunner operator(String name, long seed) {
        return new CliRunner(directory, store, seed)
                .withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379")
                .withEnvironmentVariable("AUBURNHOIST_OPERATOR", name)
                .writeFile("teams.yaml", TEAMS);
    }

    @Test
    void appliesShowsComparesAndRemoves() {
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml"), cli.err());
        assertTrue(cli.out().contains("newest version: 0") && cli.out().contains("accepted version: 1"));
        cli.run("show teams.yaml");
        assertEquals(TEAMS, cli.out());
        cli.writeFile("teams.yaml", TEAMS.replace("burst: 10", "burst: 3"));
        assertEquals(ExitCode.DONE, cli.run("diff teams.yaml"));
        assertTrue(cli.out().contains("-2:   school") && cli.out().contains("+2:   school"), cli.out());
        cli.run("show");
        assertTrue(cli.out().contains("1: by amina at 2026-12-04T08:00:00Z, replaced teams.yaml"), cli.out());
        assertEquals(ExitCode.REFUSED, cli.run("remove other.yaml"));
        assertEquals(ExitCode.DONE, cli.run("remove teams.yaml"));
        cli.run("show");
        assertTrue(cli.out().startsWith("version: 2") && cli.out().contains("removed teams.yaml"), cli.out());
    }

    @Test
    void appliesTheSameContentOnlyOnce() {
        cli.run("apply teams.yaml");
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml"));
        assertTrue(cli.out().contains("no difference"));
    }

    @Test
    void checksReferencesToFilesThatStay() {
        cli.run("apply teams.yaml");
        cli.writeFile("keys.yaml", "keys:\n  k: {team: school, secret-sha256: " + "ab".repeat(32) + "}\n");
        assertEquals(ExitCode.DONE, cli.run("apply keys.yaml"), cli.err());
        var before = store.entries();
        assertEquals(ExitCode.REFUSED, cli.run("remove teams.yaml"));
        assertTrue(cli.err().contains("keys.yaml:2:13: keys.k.team: expected the name of a declared team"), cli.err());
        assertEquals(before, store.entries());
    }

    @Test
    void refusesAVersionThatIsNoLongerTheNewest() {
        cli.run("apply teams.yaml");
        cli.writeFile("teams.yaml", TEAMS.replace("10", "11"));
        assertEquals(ExitCode.REFUSED, cli.run("apply teams.yaml --expect-version 0"));
        assertTrue(cli.err().contains("conflict: expected version 0, found 1 (replaced teams.yaml, by amina"));
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml --expect-version 1"));
    }

    @Test
    void findsItsChangeAfterALostAnswer() {
        store.planHeadWrites(HeadWriteOutcome.ANSWER_LOST);
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml"), cli.err());
        assertTrue(cli.out().contains("accepted version: 1"));
    }

    @Test
    void retriesAWriteWhoseRequestWasLost() {
        store.planHeadWrites(HeadWriteOutcome.REQUEST_LOST, HeadWriteOutcome.REQUEST_LOST);
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml"), cli.err());
        cli.run("show");
        assertTrue(cli.out().startsWith("version: 1"));
    }

    @Test
    void reportsOutcomeUnknownIfTheStoreStaysUnavailableAfterALostAnswer() {
        store.planHeadWrites(HeadWriteOutcome.ANSWER_LOST_THEN_UNAVAILABLE);
        assertEquals(ExitCode.OUTCOME_UNKNOWN, cli.run("apply teams.yaml"));
        assertTrue(cli.err().contains("version 1 may or may not be in force"), cli.err());
        assertTrue(store.entries().containsKey(StoreKeys.CONFIGURATION));
    }

    @Test
    void findsItsChangeAfterALostAnswerAmongLaterChanges() {
        cli.writeFile("other.yaml", "teams: {club: {rate-per-second: 1, burst: 1, weight: 1}}");
        store.planHeadWrites(HeadWriteOutcome.ANSWER_LOST);
        store.afterNextHeadWrite(
                () -> assertEquals(ExitCode.DONE, operator("karim", 2).run("apply other.yaml")));
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml"), cli.err());
        assertTrue(cli.out().contains("accepted version: 1"));
        cli.run("show");
        assertTrue(cli.out().startsWith("version: 2"));
    }

    @Test
    void reportsAConflictIfItsRequestWasLostAndAnotherOperatorWon() {
        cli.writeFile("other.yaml", "teams: {club: {rate-per-second: 1, burst: 1, weight: 1}}");
        store.planHeadWrites(HeadWriteOutcome.REQUEST_LOST);
        store.beforeNextHeadWrite(
                () -> assertEquals(ExitCode.DONE, operator("karim", 2).run("apply other.yaml")));
        assertEquals(ExitCode.REFUSED, cli.run("apply teams.yaml"));
        assertTrue(cli.err().contains("found 1 (replaced other.yaml, by karim"), cli.err());
    }

    @Test
    void deletesTheChunksThatNoFileUsesAnyMore() {
        cli.writeFile("same.yaml", "services: {}\n").writeFile("other.yaml", "services: {}\n");
        cli.run("apply teams.yaml same.yaml other.yaml");
        assertEquals(2, chunkCount());
        cli.run("remove same.yaml");
        assertEquals(2, chunkCount());
        cli.writeFile("teams.yaml", TEAMS.replace("10", "11"));
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml"), cli.err());
        cli.run("remove other.yaml");
        assertEquals(1, chunkCount());
    }

    @Test
    void keepsAChunkThatAnotherOperatorUsesAgainBeforeItIsDeleted() {
        cli.run("apply teams.yaml");
        CliRunner other = new CliRunner(directory.resolve("karim"), store, 2)
                .withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379")
                .writeFile("teams.yaml", TEAMS);
        cli.writeFile("teams.yaml", TEAMS.replace("10", "11"));
        store.afterNextHeadWrite(() -> assertEquals(ExitCode.DONE, other.run("apply teams.yaml"), other.err()));
        assertEquals(ExitCode.DONE, cli.run("apply teams.yaml"), cli.err());
        assertEquals(ExitCode.DONE, cli.run("show teams.yaml"), cli.err());
        assertEquals(TEAMS, cli.out());
    }

    private long chunkCount() {
        return store.entries().keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.CHUNK_PREFIX))
                .count();
    }

    @Test
    void reportsAnUnavailableStore() {
        store.setUnavailable(true);
        for (String line : new String[] {"apply teams.yaml", "show", "diff teams.yaml", "remove teams.yaml"}) {
            assertEquals(ExitCode.UNAVAILABLE, cli.run(line), line);
        }
    }

    @Test
    void issuesAndWithdrawsAKeyWithoutTouchingOtherLines() {
        String text = TEAMS + "# Keys of the schools.\nkeys:\n  # none so far\n\n# end\nservices: {}\n";
        cli.writeFile("fleet.yaml", text);
        assertEquals(ExitCode.DONE, cli.run("keys issue --team school --file fleet.yaml"), cli.err());
        String key = cli.out().strip();
        String secret = key.substring(key.indexOf('.') + 1);
        String issued = cli.readFile("fleet.yaml");
        assertEquals(43, secret.length());
        assertFalse(issued.contains(secret));
        assertEquals(text, issued.replaceAll("(?m)^  school-[0-9a-f]{8}:\n    team: school\n.*sha256: .*\n", ""));
        String id = key.substring(0, key.indexOf('.'));
        cli.run("apply fleet.yaml");
        assertEquals(
                ExitCode.DONE,
                cli.run("keys withdraw --key " + id + " --file fleet.yaml --store 127.0.0.1:2379"),
                cli.err());
        assertEquals(issued, cli.readFile("fleet.yaml").replace("    withdrawn: true\n", ""));
        cli.run("show fleet.yaml");
        assertTrue(cli.out().contains("withdrawn: true"));
        cli.writeFile("fleet.yaml", issued);
        String withdraw = "keys withdraw --key " + id + " --file fleet.yaml --store 127.0.0.1:2379 --expect-version 1";
        assertEquals(ExitCode.REFUSED, cli.run(withdraw));
        assertTrue(cli.err().contains("stays valid until the file is applied"), cli.err());
        assertEquals(ExitCode.REFUSED, cli.run("keys withdraw --key other --file fleet.yaml"));
    }
}
