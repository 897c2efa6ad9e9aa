package org.auburnhoist.simulation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Roster;

/** Injects random faults and changes while a simulated fleet runs. */
final class FaultInjector {
    private final SimulatedFleet fleet;

    FaultInjector(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Runs the fleet with a fault or a change every two seconds on average. */
    void run(double seconds) {
        double end = fleet.time + seconds;
        while (fleet.time < end) {
            fleet.run(fleet.random.nextDouble() * 4);
            injectFault();
        }
    }

    private void injectFault() {
        int index = fleet.random.nextInt(fleet.hosts.length);
        int other = fleet.random.nextInt(fleet.hosts.length);
        switch (fleet.random.nextInt(11)) {
            case 0 -> fleet.hosts[index].pausedUntil = fleet.time + fleet.random.nextDouble() * 20;
            case 1 -> fleet.linkDown[index][other] = true;
            case 2 -> isolate(index);
            case 3 -> fleet.store.available = !fleet.store.available;
            case 4 -> fleet.start(index, fleet.random.nextLong());
            case 5 -> leave(index);
            case 6 -> changeConfiguration();
            case 7 -> fleet.storeLinkDown[index] = !fleet.storeLinkDown[index];
            case 8 -> fleet.documentsLost[index] = true;
            default -> heal();
        }
    }

    private void isolate(int index) {
        for (int other = 0; other < fleet.hosts.length; other++) {
            fleet.linkDown[index][other] = true;
            fleet.linkDown[other][index] = fleet.random.nextBoolean();
        }
    }

    private void heal() {
        for (boolean[] row : fleet.linkDown) {
            Arrays.fill(row, false);
        }
        fleet.store.available = true;
        Arrays.fill(fleet.storeLinkDown, false);
        Arrays.fill(fleet.documentsLost, false);
    }

    private void leave(int index) {
        Roster roster = fleet.store.roster;
        if (fleet.store.available) {
            fleet.store.compareAndSwap(roster.version(), roster.markLeaving(fleet.hosts[index].id));
        }
    }

    /** Removes and adds teams and changes limits, without exceeding the limits that the fleet checks. */
    private void changeConfiguration() {
        if (!fleet.store.available) {
            return;
        }
        Map<String, Team> teams = new HashMap<>(SimulatedFleet.TEAMS);
        int choice = fleet.random.nextInt(4);
        if (choice == 0) {
            teams.remove("middle");
        } else if (choice == 1) {
            teams.put("middle", new Team("middle", 0.2, 1, 1));
        } else if (choice == 2) {
            teams.put("large", new Team("large", 30, 20, 1));
        }
        long version = fleet.store.configuration.version() + 1;
        fleet.store.configuration = new FakeStore.Configuration(version, teams);
    }
}
