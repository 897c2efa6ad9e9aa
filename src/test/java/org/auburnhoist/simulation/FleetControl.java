package org.auburnhoist.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.auburnhoist.core.HostId;

/** Controls a simulated fleet from scenarios. */
public final class FleetControl {
    private final SimulatedFleet fleet;
    private final List<HostId> firstIncarnations = new ArrayList<>();

    /** Creates a fleet whose hosts join immediately. */
    public FleetControl(long seed, int count) {
        fleet = new SimulatedFleet(seed, count);
        for (SimulatedHost host : fleet.hosts) {
            firstIncarnations.add(host.id);
        }
    }

    /** Returns the number of hosts. */
    public int size() {
        return fleet.hosts.length;
    }

    /** Advances the simulated time. */
    public void run(double seconds) {
        fleet.run(seconds);
    }

    /** Pauses a host's process; its clock continues to run. */
    public void pause(int host, double seconds) {
        fleet.hosts[host].pausedUntil = fleet.time + seconds;
    }

    /** Runs until just before a paused host handles its first message. */
    public void runUntilResumed(int host) {
        fleet.run(fleet.hosts[host].pausedUntil - fleet.time - 2 * SimulatedFleet.STEP);
    }

    /** Returns the numbers of the other hosts. */
    public List<Integer> allBut(List<Integer> excluded) {
        return IntStream.range(0, size())
                .filter(host -> !excluded.contains(host))
                .boxed()
                .toList();
    }

    /** Blocks the connections between two groups of hosts, in both directions. */
    public void partition(List<Integer> first, List<Integer> second) {
        for (int one : first) {
            for (int other : second) {
                fleet.linkDown[one][other] = true;
                fleet.linkDown[other][one] = true;
            }
        }
    }

    /** Blocks a host's connection to the store. */
    public void disconnectFromStore(int host) {
        fleet.storeLinkDown[host] = true;
    }

    /** Makes the store reject all calls. */
    public void failStore() {
        fleet.store.available = false;
    }

    /** Writes a new configuration version with the same teams. */
    public void changeConfiguration() {
        FakeStore.Configuration before = fleet.store.configuration;
        fleet.store.configuration = new FakeStore.Configuration(before.version() + 1, before.teams());
    }

    /** Starts another incarnation in place of a host. */
    public void replace(int host) {
        fleet.start(host, fleet.random.nextLong());
    }

    /** Begins the planned stop of a host. */
    public void markLeaving(int host) {
        fleet.hosts[host].stopping = true;
        fleet.store.compareAndSwap(fleet.store.roster.version(), fleet.store.roster.markLeaving(fleet.hosts[host].id));
    }

    /** Whether a host is fresh, that is, may make decisions now. */
    public boolean isFresh(int host) {
        return fleet.isFresh(host);
    }

    /** Whether a host holds the configuration that the store holds. */
    public boolean hasNewestConfiguration(int host) {
        return fleet.hosts[host].configuration.version() == fleet.store.configuration.version();
    }

    /** Returns the violations found by the checks that run at each step. */
    public List<String> violations() {
        return List.copyOf(fleet.violations);
    }

    /** Returns the maximum number of tokens above burst + rate x time over all time windows and teams. */
    public double maxExcess() {
        return Math.max(fleet.granted.maxExcess, fleet.used.maxExcess);
    }

    /** Returns the number of tokens that a team has used so far. */
    public long usedTokens(String team) {
        return fleet.used.total(team);
    }

    /** Returns a team's rate. */
    public double ratePerSecond(String team) {
        return SimulatedFleet.TEAMS.get(team).ratePerSecond();
    }

    /** Whether the store's roster gives shards to the host as it was first started. */
    public boolean firstIncarnationOwnsShards(int host) {
        return fleet.store.roster.shards().stream()
                .anyMatch(shard -> shard.owner().equals(firstIncarnations.get(host)));
    }

    /** Returns the shards from which no running host grants tokens. */
    public List<Integer> shardsWithoutGrantingHost() {
        return IntStream.range(0, fleet.store.roster.shards().size())
                .filter(shard -> fleet.grantingHosts(shard) == 0)
                .boxed()
                .toList();
    }
}
