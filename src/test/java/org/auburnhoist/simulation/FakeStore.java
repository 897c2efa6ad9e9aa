package org.auburnhoist.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Roster;

/** In-memory store that holds the roster and the configuration. */
final class FakeStore {
    boolean available = true;
    Roster roster;
    Configuration configuration;
    final List<Roster> writtenRosters = new ArrayList<>();

    FakeStore(Roster first, Configuration configuration) {
        this.roster = first;
        this.configuration = configuration;
        writtenRosters.add(first);
    }

    boolean compareAndSwap(long expectedVersion, Roster next) {
        if (!available || roster.version() != expectedVersion) {
            return false;
        }
        roster = next;
        writtenRosters.add(next);
        return true;
    }

    /** A configuration that consists of the teams only. */
    record Configuration(long version, Map<String, Team> teams) {}
}
