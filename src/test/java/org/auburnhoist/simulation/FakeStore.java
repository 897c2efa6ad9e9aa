package org.auburnhoist.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Roster;

/** The platform's store with the two documents, in memory. */
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

    /** A configuration reduced to its teams. */
    record Configuration(long version, Map<String, Team> teams) {}
}
