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

/** Guards against changes that are lost, reported wrongly, or half applied. */
class ChangeCommandsTest {
    private static final String TEAMS = "teams:\n  school: {rate-per-second: 5, burst: 10, weight: 1}\n";

    @TempDir
    private Path directory;

    private final FaultInjectingStore store = new FaultInjectingStore();
    private CliRunner run;

    @BeforeEach
    void prepare() {
        run = operator("amina", 1);
    }

    private CliRunner operator(String name, long seed) {
        return new CliRunner(directory, store, seed)
                .withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379")
                .withEnvironmentVariable("AUBURNHOIST_OPERATOR", name)
                .writeFile("teams.yaml", TEAMS);
    }

    @Test
    void appliesShowsComparesAndRemoves() {
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml"), run.err());
        assertTrue(run.out().contains("newest version: 0") && run.out().contains("accepted version: 1"));
        run.run("show teams.yaml");
        assertEquals(TEAMS, run.out());
        run.writeFile("teams.yaml", TEAMS.replace("burst: 10", "burst: 3"));
        assertEquals(ExitCode.DONE, run.run("diff teams.yaml"));
        assertTrue(run.out().contains("-2:   school") && run.out().contains("+2:   school"), run.out());
        run.run("show");
        assertTrue(run.out().contains("1: by amina at 2026-12-04T08:00:00Z, replaced teams.yaml"), run.out());
        assertEquals(ExitCode.REFUSED, run.run("remove other.yaml"));
        assertEquals(ExitCode.DONE, run.run("remove teams.yaml"));
        run.run("show");
        assertTrue(run.out().startsWith("version: 2") && run.out().contains("removed teams.yaml"), run.out());
    }

    @Test
    void appliesTheSameContentOnlyOnce() {
        run.run("apply teams.yaml");
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml"));
        assertTrue(run.out().contains("no difference"));
    }

    @Test
    void checksReferencesToFilesThatStay() {
        run.run("apply teams.yaml");
        run.writeFile("keys.yaml", "keys:\n  k: {team: school, secret-sha256: " + "ab".repeat(32) + "}\n");
        assertEquals(ExitCode.DONE, run.run("apply keys.yaml"), run.err());
        var before = store.entries();
        assertEquals(ExitCode.REFUSED, run.run("remove teams.yaml"));
        assertTrue(run.err().contains("keys.yaml:2:13: keys.k.team: expected the name of a declared team"), run.err());
        assertEquals(before, store.entries());
    }

    @Test
    void refusesAVersionThatIsNoLongerTheNewest() {
        run.run("apply teams.yaml");
        run.writeFile("teams.yaml", TEAMS.replace("10", "11"));
        assertEquals(ExitCode.REFUSED, run.run("apply teams.yaml --expect-version 0"));
        assertTrue(run.err().contains("conflict: expected version 0, found 1 (replaced teams.yaml, by amina"));
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml --expect-version 1"));
    }

    @Test
    void findsItsChangeAfterALostAnswer() {
        store.planHeadWrites(HeadWriteOutcome.ANSWER_LOST);
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml"), run.err());
        assertTrue(run.out().contains("accepted version: 1"));
    }

    @Test
    void repeatsAWriteThatGotLostOnTheWay() {
        store.planHeadWrites(HeadWriteOutcome.REQUEST_LOST, HeadWriteOutcome.REQUEST_LOST);
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml"), run.err());
        run.run("show");
        assertTrue(run.out().startsWith("version: 1"));
    }

    @Test
    void saysOutcomeUnknownIfTheStoreStaysAwayAfterALostAnswer() {
        store.planHeadWrites(HeadWriteOutcome.ANSWER_LOST_THEN_UNAVAILABLE);
        assertEquals(ExitCode.OUTCOME_UNKNOWN, run.run("apply teams.yaml"));
        assertTrue(run.err().contains("version 1 may or may not be in force"), run.err());
        assertTrue(store.entries().containsKey(StoreKeys.CONFIGURATION));
    }

    @Test
    void findsItsChangeAfterALostAnswerAmongLaterChanges() {
        run.writeFile("other.yaml", "teams: {club: {rate-per-second: 1, burst: 1, weight: 1}}");
        store.planHeadWrites(HeadWriteOutcome.ANSWER_LOST);
        store.afterNextHeadWrite(
                () -> assertEquals(ExitCode.DONE, operator("karim", 2).run("apply other.yaml")));
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml"), run.err());
        assertTrue(run.out().contains("accepted version: 1"));
        run.run("show");
        assertTrue(run.out().startsWith("version: 2"));
    }

    @Test
    void reportsAConflictIfItsRequestWasLostAndAnotherOperatorWon() {
        run.writeFile("other.yaml", "teams: {club: {rate-per-second: 1, burst: 1, weight: 1}}");
        store.planHeadWrites(HeadWriteOutcome.REQUEST_LOST);
        store.beforeNextHeadWrite(
                () -> assertEquals(ExitCode.DONE, operator("karim", 2).run("apply other.yaml")));
        assertEquals(ExitCode.REFUSED, run.run("apply teams.yaml"));
        assertTrue(run.err().contains("found 1 (replaced other.yaml, by karim"), run.err());
    }

    @Test
    void deletesTheChunksThatNoFileUsesAnyMore() {
        run.writeFile("same.yaml", "services: {}\n").writeFile("other.yaml", "services: {}\n");
        run.run("apply teams.yaml same.yaml other.yaml");
        assertEquals(2, chunkCount());
        run.run("remove same.yaml");
        assertEquals(2, chunkCount());
        run.writeFile("teams.yaml", TEAMS.replace("10", "11"));
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml"), run.err());
        run.run("remove other.yaml");
        assertEquals(1, chunkCount());
    }

    @Test
    void keepsAChunkThatAnotherOperatorUsesAgainBeforeItIsDeleted() {
        run.run("apply teams.yaml");
        CliRunner other = new CliRunner(directory.resolve("karim"), store, 2)
                .withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379")
                .writeFile("teams.yaml", TEAMS);
        run.writeFile("teams.yaml", TEAMS.replace("10", "11"));
        store.afterNextHeadWrite(() -> assertEquals(ExitCode.DONE, other.run("apply teams.yaml"), other.err()));
        assertEquals(ExitCode.DONE, run.run("apply teams.yaml"), run.err());
        assertEquals(ExitCode.DONE, run.run("show teams.yaml"), run.err());
        assertEquals(TEAMS, run.out());
    }

    private long chunkCount() {
        return store.entries().keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.CHUNK_PREFIX))
                .count();
    }

    @Test
    void reportsAStoreThatIsAway() {
        store.setUnavailable(true);
        for (String line : new String[] {"apply teams.yaml", "show", "diff teams.yaml", "remove teams.yaml"}) {
            assertEquals(ExitCode.UNAVAILABLE, run.run(line), line);
        }
    }

    @Test
    void issuesAndWithdrawsAKeyWithoutTouchingOtherLines() {
        String text = TEAMS + "# Keys of the schools.\nkeys:\n  # none so far\n\n# end\nservices: {}\n";
        run.writeFile("fleet.yaml", text);
        assertEquals(ExitCode.DONE, run.run("keys issue --team school --file fleet.yaml"), run.err());
        String key = run.out().strip();
        String secret = key.substring(key.indexOf('.') + 1);
        String issued = run.readFile("fleet.yaml");
        assertEquals(43, secret.length());
        assertFalse(issued.contains(secret));
        assertEquals(text, issued.replaceAll("(?m)^  school-[0-9a-f]{8}:\n    team: school\n.*sha256: .*\n", ""));
        String id = key.substring(0, key.indexOf('.'));
        run.run("apply fleet.yaml");
        assertEquals(
                ExitCode.DONE,
                run.run("keys withdraw --key " + id + " --file fleet.yaml --store 127.0.0.1:2379"),
                run.err());
        assertEquals(issued, run.readFile("fleet.yaml").replace("    withdrawn: true\n", ""));
        run.run("show fleet.yaml");
        assertTrue(run.out().contains("withdrawn: true"));
        run.writeFile("fleet.yaml", issued);
        String withdraw = "keys withdraw --key " + id + " --file fleet.yaml --store 127.0.0.1:2379 --expect-version 1";
        assertEquals(ExitCode.REFUSED, run.run(withdraw));
        assertTrue(run.err().contains("stays valid until the file is applied"), run.err());
        assertEquals(ExitCode.REFUSED, run.run("keys withdraw --key other --file fleet.yaml"));
    }
}
