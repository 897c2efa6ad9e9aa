package org.auburnhoist.simulation;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.limit.LimitSettings;
import org.auburnhoist.core.limit.ShardHandover;
import org.auburnhoist.core.limit.ShardOwnership;
import org.auburnhoist.core.limit.TokenBuckets;
import org.auburnhoist.core.limit.TokenReserves;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.PeerSelector;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterProposer;
import org.auburnhoist.core.membership.StoreReaderSelector;

/** Decision logic of one host, with its own clock. */
final class SimulatedHost {
    final int index;
    final double clockRate;
    final HostId id;
    final FreshnessTable table;
    final ShardOwnership ownership;
    final TokenBuckets buckets;
    final TokenReserves reserves;
    final ShardHandover handover;
    final RosterProposer rosterProposer;
    final StoreReaderSelector readerSelector;
    final PeerSelector peerSelector;
    FakeStore.Configuration configuration;
    double pausedUntil;
    double nextPull;
    double nextRead;
    boolean stopping;

    SimulatedHost(
            int index,
            long incarnation,
            double clockRate,
            RandomGenerator random,
            FakeStore store,
            double trueSeconds) {
        MembershipSettings settings = SimulatedFleet.SETTINGS;
        LimitSettings limits = SimulatedFleet.LIMITS;
        this.index = index;
        this.clockRate = clockRate;
        this.id = new HostId("host-" + index, incarnation);
        this.configuration = store.configuration;
        long now = now(trueSeconds);
        this.table = new FreshnessTable(id, settings, store.roster, configuration.version(), now);
        this.ownership = new ShardOwnership(table, settings);
        this.buckets = new TokenBuckets(ownership, limits);
        this.reserves = new TokenReserves(id, limits, store.roster);
        this.handover = new ShardHandover(ownership, buckets);
        this.rosterProposer = new RosterProposer(settings);
        this.readerSelector = new StoreReaderSelector(settings);
        this.peerSelector = new PeerSelector(random);
        buckets.configure(configuration.teams(), now);
        reserves.configure(configuration.teams(), now);
    }

    /** Returns the host's clock; clocks start at different values, some of them negative. */
    long now(double trueSeconds) {
        return (long) (trueSeconds * 1e9 * clockRate) + (index - 2) * 7_000_000_000L;
    }

    Member member() {
        String address = "192.0.2." + (index + 1);
        return new Member(id, address + ":1", address + ":2", "dc-" + index % 3, MemberState.SERVING, 0);
    }

    boolean isMember() {
        return table.roster().member(id).isPresent();
    }

    void adopt(FakeStore.Configuration newConfiguration, Roster newRoster, long now) {
        if (newConfiguration.version() > configuration.version()) {
            configuration = newConfiguration;
            table.adoptConfiguration(newConfiguration.version(), now);
            buckets.configure(newConfiguration.teams(), now);
            reserves.configure(newConfiguration.teams(), now);
        }
        if (newRoster.version() > table.roster().version() && table.adoptRoster(newRoster, now)) {
            reserves.updateRoster(newRoster);
        }
    }

    Set<HostId> idAsSet() {
        return Set.of(id);
    }
}
