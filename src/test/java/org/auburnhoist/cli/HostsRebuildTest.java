package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Objects;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterCodec;
import org.auburnhoist.store.StoreKeys;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against declaring hosts dead without an explicit assertion, or other hosts than the operator meant. */
class HostsRebuildTest {
    private static final String DEAD = " --others-are-dead";

    @TempDir
    private Path directory;

    private final FaultInjectingStore store = new FaultInjectingStore();
    private CliRunner run;

    @BeforeEach
    void prepare() {
        run = new CliRunner(directory, store, 1).withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379");
    }

    private void writeRoster() {
        Roster roster = Roster.bootstrap(RolloutMonitorTest.member("host-1", 1), 4)
                .join(RolloutMonitorTest.member("host-2", 2))
                .join(RolloutMonitorTest.member("host-3", 3))
                .join(RolloutMonitorTest.member("host-3", 4));
        store.compareAndSwap(StoreKeys.ROSTER, 0, RosterCodec.encode(roster)).join();
    }

    private Roster roster() {
        return RosterCodec.decode(Objects.requireNonNull(store.entries().get(StoreKeys.ROSTER))
                        .value())
                .get();
    }

    @Test
    void keepsTheNamedHostsAndSettlesTheRoster() {
        writeRoster();
        assertEquals(ExitCode.DONE, run.run("hosts rebuild --survivors host-2,host-3@4" + DEAD), run.err());
        assertTrue(run.out().contains("host-1@1 127.0.0.1:2: declared dead"), run.out());
        assertTrue(run.out().contains("host-3@3 127.0.0.1:2: declared dead"), run.out());
        assertTrue(run.out().contains("host-3@4 127.0.0.1:2: kept"), run.out());
        assertEquals(5, roster().version());
        assertEquals(5, roster().settledVersion());
        assertTrue(roster().hasQuorum(id -> id.incarnation() == 2 || id.incarnation() == 4));
    }

    @Test
    void refusesWithoutTheAssertionAndListsWhatItWouldDo() {
        writeRoster();
        var before = store.entries();
        assertEquals(ExitCode.REFUSED, run.run("hosts rebuild --survivors host-2"));
        assertTrue(run.out().contains("host-2@2 127.0.0.1:2: kept"), run.out());
        assertTrue(run.err().contains("--others-are-dead: expected this assertion"), run.err());
        assertEquals(before, store.entries());
    }

    @Test
    void refusesUnknownAndAmbiguousNames() {
        writeRoster();
        var before = store.entries();
        assertEquals(ExitCode.REFUSED, run.run("hosts rebuild --survivors host-9,host-3" + DEAD));
        assertTrue(run.err().contains("found none for \"host-9\""), run.err());
        assertTrue(run.err().contains("found [host-3@3, host-3@4] for \"host-3\""), run.err());
        assertEquals(before, store.entries());
    }

    @Test
    void needsExactlyOneWayToNameTheSurvivorsAndARoster() {
        assertEquals(ExitCode.USAGE, run.run("hosts rebuild" + DEAD));
        assertEquals(ExitCode.USAGE, run.run("hosts rebuild --answering --survivors host-1" + DEAD));
        assertEquals(ExitCode.REFUSED, run.run("hosts rebuild --survivors host-1" + DEAD));
        assertTrue(run.err().contains("no host has joined yet"), run.err());
    }

    @Test
    void keepsNoHostThatDoesNotAnswer() {
        writeRoster();
        assertEquals(ExitCode.REFUSED, run.run("hosts rebuild --answering" + DEAD));
        assertTrue(run.err().contains("found none; start a host"), run.err());
    }
}
