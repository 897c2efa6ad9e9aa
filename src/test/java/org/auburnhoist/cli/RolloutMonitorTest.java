package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.Roster;
import org.junit.jupiter.api.Test;

/** Guards against a report that claims more than the hosts answered, waits forever, or repeats the same progress. */
class RolloutMonitorTest {
    private static final Member FIRST = member("host-1", 1);
    private static final Member SECOND = member("host-2", 2);
    private static final Roster ROSTER = Roster.bootstrap(FIRST, 4).join(SECOND);

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final AtomicLong now = new AtomicLong();
    private final List<FleetStatus> answers = new ArrayList<>();
    private int queryCount;

    static Member member(String name, long incarnation) {
        return new Member(new HostId(name, incarnation), "127.0.0.1:1", "127.0.0.1:2", "dc", MemberState.SERVING, 0);
    }

    private static FleetStatus status(long first, long second, long settled) {
        return new FleetStatus(List.of(report(FIRST, first, settled), report(SECOND, second, settled)));
    }

    private static FleetStatus.Report report(Member member, long version, long settled) {
        boolean reachable = version > 0;
        return new FleetStatus.Report(member, reachable, version, reachable, reachable ? settled : 0);
    }

    private String report(Either<Failure, Optional<Roster>> roster, Duration wait) {
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        new RolloutMonitor(
                        () -> roster,
                        members -> answers.get(Math.min(queryCount++, answers.size() - 1)),
                        now::get,
                        duration -> now.addAndGet(duration.toNanos()),
                        out)
                .awaitAndReport(5, wait);
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void waitsForAllHostsAndPrintsEachProgressOnce() {
        answers.addAll(List.of(status(4, 4, 4), status(5, 4, 4), status(5, 4, 4), status(5, 6, 5)));
        String text = report(Either.right(Optional.of(ROSTER)), Duration.ofSeconds(15));
        assertEquals(
                List.of(
                        "in force on 0 of 2 hosts",
                        "in force on 1 of 2 hosts",
                        "in force on 2 of 2 hosts",
                        "in force: host-1@1, host-2@2"),
                text.lines().toList());
    }

    @Test
    void listsOutdatedAndUnreachableHostsAfterTheMaximumWait() {
        answers.add(status(4, 0, 4));
        String text = report(Either.right(Optional.of(ROSTER)), Duration.ofSeconds(3));
        assertEquals(Duration.ofSeconds(3).toNanos(), now.get());
        assertTrue(text.contains("not yet in force: host-1@1"), text);
        assertTrue(text.contains("did not answer: host-2@2"), text);
        assertTrue(text.contains("no host that answered knows it to be settled"), text);
    }

    @Test
    void reportsThatAnUnreachableHostStopsOnlyOnceTheChangeIsSettled() {
        answers.add(status(5, 0, 5));
        String text = report(Either.right(Optional.of(ROSTER)), Duration.ofSeconds(1));
        assertTrue(text.contains("Version 5 is settled. A host that does not have it stops serving within 6 s"), text);
    }

    @Test
    void reportsWithoutHostsOrRoster() {
        assertTrue(
                report(Either.right(Optional.empty()), Duration.ofSeconds(15)).contains("no host has joined yet"));
        Either<Failure, Optional<Roster>> unavailable =
                Either.left(new Failure(ExitCode.UNAVAILABLE, "store unavailable: x"));
        assertTrue(
                report(unavailable, Duration.ofSeconds(15)).contains("not asked (store unavailable: x); see status"));
        assertTrue(report(Either.right(Optional.of(ROSTER)), Duration.ZERO).contains("not asked; see status"));
        assertEquals(0, queryCount);
    }
}
