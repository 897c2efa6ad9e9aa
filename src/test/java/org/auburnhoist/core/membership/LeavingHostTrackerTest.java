package org.auburnhoist.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.junit.jupiter.api.Test;

/** Guards against a lagging or stale host list that removes serving hosts from the answers to address queries. */
class LeavingHostTrackerTest {
    private static final Set<String> NONE = Set.of();
    private static final Set<String> FIRST_NAME = Set.of("host-1");
    private static final Member FIRST = member("host-1", 1);
    private static final Member SECOND = member("host-2", 2);
    private static final Member REPLACEMENT = member("host-1", 3);
    private static final List<Member> BOTH = List.of(FIRST, SECOND);

    private final LeavingHostTracker tracker = new LeavingHostTracker();

    private static Member member(String name, long incarnation) {
        return new Member(new HostId(name, incarnation), "127.0.0.1:1", "127.0.0.1:2", "dc", MemberState.SERVING, 0);
    }

    @Test
    void markedHostIsOmittedUntilTheListShowsItAsLive() {
        tracker.update(Set.of("host-2"), FIRST_NAME, BOTH, 0);
        assertEquals(List.of(SECOND), tracker.withoutLeaving(BOTH, 1));
        tracker.update(Set.of("host-1", "host-2"), NONE, BOTH, 2);
        assertEquals(BOTH, tracker.withoutLeaving(BOTH, 3));
    }

    @Test
    void absenceNeitherSetsNorEndsAMark() {
        tracker.update(NONE, FIRST_NAME, BOTH, 0);
        tracker.update(NONE, NONE, BOTH, 1);
        assertEquals(List.of(SECOND), tracker.withoutLeaving(BOTH, 2));
    }

    @Test
    void marksExpireWhenTheListIsUnavailable() {
        tracker.update(NONE, FIRST_NAME, BOTH, 0);
        assertTrue(tracker.isLeaving(FIRST.id(), LeavingHostTracker.RETENTION.toNanos()));
        assertFalse(tracker.isLeaving(FIRST.id(), LeavingHostTracker.RETENTION.toNanos() + 1));
    }

    @Test
    void staleEntryDoesNotAffectTheReplacementOfTheMarkedHost() {
        tracker.update(NONE, FIRST_NAME, BOTH, 0);
        List<Member> replaced = List.of(SECOND, REPLACEMENT);
        tracker.update(NONE, FIRST_NAME, replaced, 1);
        assertEquals(replaced, tracker.withoutLeaving(replaced, 2));
        tracker.update(FIRST_NAME, NONE, replaced, 3);
        tracker.update(NONE, FIRST_NAME, replaced, 4);
        assertEquals(List.of(SECOND), tracker.withoutLeaving(replaced, 5));
    }

    @Test
    void listThatMarksEveryHostIsIgnored() {
        tracker.update(NONE, Set.of("host-1", "host-2"), BOTH, 0);
        assertEquals(BOTH, tracker.withoutLeaving(BOTH, 1));
    }
}
