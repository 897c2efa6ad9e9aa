package org.auburnhoist.core.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.ClaimVerdict;
import org.auburnhoist.core.message.RecordedResponse;
import org.junit.jupiter.api.Test;

/** Guards against operations that are granted twice, and against records that are lost or kept beyond their limits. */
class OperationHomeTest {
    private static final HostId SELF = new HostId("host-1.cairo", -5);
    private static final HostId CLAIMANT = new HostId("host-2", 2);
    private static final HostId SUCCESSOR = new HostId("host-3", 3);
    private static final long HOUR = Duration.ofHours(1).toNanos();

    private final OperationHome home = home(SELF, OperationSettings.DEFAULT);

    private static OperationHome home(HostId self, OperationSettings settings) {
        return new OperationHome(self, 0, settings, new SplittableRandom(1));
    }

    private static ClaimAnswer claim(OperationHome home, String id, long attempt, long now) {
        return home.claim(new ClaimRequest(id, "team", 9, attempt), CLAIMANT, now);
    }

    private static String completeOperation(OperationHome home, int bodyBytes, long now) {
        String id = home.issue(now).encode();
        assertEquals(ClaimVerdict.GRANTED, claim(home, id, 1, now).verdict());
        RecordedResponse answer = new RecordedResponse(201, List.of(), new byte[bodyBytes], true);
        home.recordOutcome(new ClaimOutcome(id, 1, ClaimResult.ANSWERED, answer), CLAIMANT, now);
        return id;
    }

    @Test
    void encodedIdIsParsedBack() {
        OperationId id = home.issue(77_000_000_000L);
        assertEquals(Either.right(id), OperationId.parse(id.encode()));
        assertEquals(77, id.issuedSeconds());
    }

    @Test
    void malformedIdsAreRejectedWithTheirProblem() {
        String good = home.issue(0).encode();
        assertEquals(Either.left(OperationId.Problem.EMPTY), OperationId.parse(""));
        assertEquals(Either.left(OperationId.Problem.TOO_LONG), OperationId.parse("a".repeat(1000)));
        assertEquals(Either.left(OperationId.Problem.MALFORMED), OperationId.parse(good.substring(1) + "0"));
        assertEquals(Either.left(OperationId.Problem.MALFORMED), OperationId.parse(good.replace('f', 'F') + "G"));
    }

    @Test
    void recordedAnswersAreReplayedAndOldestBodiesAreEvicted() {
        OperationHome small = home(SELF, new OperationSettings(Duration.ofHours(1), 100, 100));
        String first = completeOperation(small, 60, 0);
        String second = completeOperation(small, 60, 0);
        RecordedResponse reduced = claim(small, first, 2, 0).recorded();
        assertFalse(reduced.bodyKept());
        assertEquals(201, reduced.status());
        assertTrue(claim(small, second, 2, 0).recorded().bodyKept());
        assertEquals(60, small.answerBytes());
    }

    @Test
    void idsExpireTogetherWithTheirRecords() {
        String id = completeOperation(home, 10, 0);
        assertEquals(ClaimVerdict.DONE, claim(home, id, 2, HOUR - 1).verdict());
        assertEquals(
                ClaimVerdict.EXPIRED, claim(home, id, 3, HOUR + 1_000_000_000L).verdict());
        assertEquals(0, home.recordCount());
        assertEquals(0, home.answerBytes());
        assertEquals(ClaimVerdict.EXPIRED, claim(home, id, 4, 0).verdict());
    }

    @Test
    void anotherRequestUnderTheSameIdIsAMismatch() {
        String id = completeOperation(home, 10, 0);
        assertEquals(
                ClaimVerdict.MISMATCH,
                home.claim(new ClaimRequest(id, "team", 10, 2), CLAIMANT, 0).verdict());
        assertEquals(
                ClaimVerdict.MISMATCH,
                home.claim(new ClaimRequest(id, "other", 9, 2), CLAIMANT, 0).verdict());
    }

    @Test
    void aRemovedHoldersClaimIsUnknownUntilItReportsAnAnswer() {
        String id = home.issue(0).encode();
        claim(home, id, 1, 0);
        home.memberRemoved(CLAIMANT, 0);
        HostId other = new HostId("host-4", 4);
        ClaimRequest again = new ClaimRequest(id, "team", 9, 5);
        assertEquals(ClaimVerdict.UNKNOWN, home.claim(again, other, 0).verdict());
        home.recordOutcome(new ClaimOutcome(id, 1, ClaimResult.NOT_RUN, null), CLAIMANT, 0);
        assertEquals(ClaimVerdict.UNKNOWN, home.claim(again, other, 0).verdict());
        RecordedResponse answer = new RecordedResponse(200, List.of(), new byte[0], true);
        home.recordOutcome(new ClaimOutcome(id, 1, ClaimResult.ANSWERED, answer), CLAIMANT, 0);
        assertEquals(ClaimVerdict.DONE, home.claim(again, other, 0).verdict());
    }

    /** Guards against a successor that grants claims before it has received the records of all operations that ran. */
    @Test
    void aSuccessorGrantsOnlyAfterTheCompleteHandover() {
        String done = "";
        for (int count = 0; count < 40; count++) {
            done = completeOperation(home, 64 * 1024, 0);
        }
        String fresh = home.issue(0).encode();
        List<byte[]> parts = home.export(SUCCESSOR, 0);
        assertTrue(parts.size() >= 3);
        assertTrue(parts.stream().allMatch(part -> part.length < 2_000_000));
        assertEquals(ClaimVerdict.NOT_HOME, claim(home, fresh, 1, 0).verdict());
        assertThrows(IllegalStateException.class, () -> home.export(CLAIMANT, 0));

        OperationHome successor = home(SUCCESSOR, OperationSettings.DEFAULT);
        for (byte[] part : parts) {
            assertEquals(ClaimVerdict.NOT_HOME, claim(successor, done, 2, 0).verdict());
            assertTrue(successor.importPart(part, 0));
        }
        assertTrue(successor.importPart(parts.get(0), 0));
        assertEquals(ClaimVerdict.DONE, claim(successor, done, 2, 0).verdict());
        assertEquals(ClaimVerdict.GRANTED, claim(successor, fresh, 2, 0).verdict());
        assertFalse(home(CLAIMANT, OperationSettings.DEFAULT).importPart(parts.get(0), 0));
        assertFalse(successor.importPart(new byte[] {1, 2, 3}, 0));
    }
}
