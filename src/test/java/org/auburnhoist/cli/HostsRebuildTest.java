package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Objects;
import org.auburnhoist.core.StorePosition;
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
    private CliRunner cli;

    @BeforeEach
    void prepare() {
        cli = new CliRunner(directory, store, 1).withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379");
    }

    private void writeRoster() {
        Roster roster = Roster.bootstrap(RolloutMonitorTest.member("host-1", 1), 4)
                .join(RolloutMonitorTest.member("host-2", 2))
                .join(RolloutMonitorTest.member("host-3", 3))
                .join(RolloutMonitorTest.member("host-3", 4));
        store.compareAndSwap(StoreKeys.ROSTER, StorePosition.NONE, RosterCodec.encode(roster))
                .join();
    }

    private Roster roster() {
        return RosterCodec.decode(Objects.requireNonNull(store.entries().get(StoreKeys.ROSTER))
                        .value())
                .get();
    }

    @Test
    void keepsTheNamedHostsAndSettlesTheRoster() {
        writeRoster();
        assertEquals(ExitCode.DONE, cli.run("hosts rebuild --survivors host-2,host-3@4" + DEAD), cli.err());
        assertTrue(cli.out().contains("host-1@1 127.0.0.1:2: declared dead"), cli.out());
        assertTrue(cli.out().contains("host-3@3 127.0.0.1:2: declared dead"), cli.out());
        assertTrue(cli.out().contains("host-3@4 127.0.0.1:2: kept"), cli.out());
        assertEquals(5, roster().version());
        assertEquals(5, roster().settledVersion());
        assertTrue(roster().hasQuorum(id -> id.incarnation() == 2 || id.incarnation() == 4));
    }

    @Test
    void refusesWithoutTheAssertionAndListsWhatItWouldDo() {
        writeRoster();
        var before = store.entries();
        assertEquals(ExitCode.REFUSED, cli.run("hosts rebuild --survivors host-2"));
        assertTrue(cli.out().contains("host-2@2 127.0.0.1:2: kept"), cli.out());
        assertTrue(cli.err().contains("--others-are-dead: expected this assertion"), cli.err());
        assertEquals(before, store.entries());
    }

    @Test
    void refusesUnknownAndAmbiguousNames() {
        writeRoster();
        var before = store.entries();
        assertEquals(ExitCode.REFUSED, cli.run("hosts rebuild --survivors host-9,host-3" + DEAD));
        assertTrue(cli.err().contains("found none for \"host-9\""), cli.err());
        assertTrue(cli.err().contains("found [host-3@3, host-3@4] for \"host-3\""), cli.err());
        assertEquals(before, store.entries());
    }

    @Test
    void requiresExactlyOneSelectionOfSurvivorsAndARoster() {
        assertEquals(ExitCode.USAGE, cli.run("hosts rebuild" + DEAD));
        assertEquals(ExitCode.USAGE, cli.run("hosts rebuild --answering --survivors host-1" + DEAD));
        assertEquals(ExitCode.REFUSED, cli.run("hosts rebuild --survivors host-1" + DEAD));
        assertTrue(cli.err().contains("no host has joined yet"), cli.err());
    }

    @Test
    void keepsNoHostThatDoesNotAnswer() {
        writeRoster();
        assertEquals(ExitCode.REFUSED, cli.run("hosts rebuild --answering" + DEAD));
        assertTrue(cli.err().contains("found none; start a host"), cli.err());
    }
}
