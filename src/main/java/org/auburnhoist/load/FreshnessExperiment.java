package org.auburnhoist.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.PeerSelector;
import org.auburnhoist.core.membership.Roster;

/**
 * Measures in simulated time the age of the state that hosts pull from each other in a fleet without faults.
 *
 * <p>Arguments: hosts, pull interval in milliseconds, simulated seconds, seed.
 */
public final class FreshnessExperiment {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int DATA_CENTRES = 8;
    private static final int WARM_UP_SECONDS = 30;

    private final SplittableRandom random;
    private final Roster roster;
    private final List<FreshnessTable> tables = new ArrayList<>();
    private final PeerSelector peerSelector;

    private FreshnessExperiment(int hosts, long seed) {
        random = new SplittableRandom(seed);
        peerSelector = new PeerSelector(random);
        List<Member> members = new ArrayList<>();
        for (int number = 0; number < hosts; number++) {
            HostId id = new HostId(String.format("host-%04d", number), number);
            String dataCentre = "dc-" + number % DATA_CENTRES;
            members.add(new Member(id, "192.0.2.1:1", "192.0.2.1:2", dataCentre, MemberState.SERVING, 1));
        }
        roster = Roster.bootstrap(members.get(0), Roster.DEFAULT_SHARD_COUNT).rebuild(members);
        for (Member member : members) {
            tables.add(new FreshnessTable(member.id(), MembershipSettings.STANDARD, roster, 1, 0));
        }
    }

    /** Runs the simulation with and without the store and prints the distribution of the ages. */
    public static void main(String[] arguments) {
        int hosts = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 40;
        int interval = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 500;
        int seconds = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 120;
        long seed = arguments.length > 3 ? Long.parseLong(arguments[3]) : 7;
        System.out.println("| hosts | pull interval ms | store | what | p50 s | p99 s | p99.9 s | largest s |");
        System.out.println("|---|---|---|---|---|---|---|---|");
        for (boolean store : new boolean[] {true, false}) {
            new FreshnessExperiment(hosts, seed).run(interval, seconds, store);
        }
    }

    private void run(int interval, int seconds, boolean store) {
        int count = tables.size();
        long[] nextPull = new long[count];
        Arrays.setAll(nextPull, index -> random.nextLong(interval) * NANOS_PER_MILLI);
        List<Double> freshness = new ArrayList<>();
        List<Double> members = new ArrayList<>();
        long end = (WARM_UP_SECONDS + (long) seconds) * 1000;
        for (long milli = 0; milli < end; milli++) {
            long now = milli * NANOS_PER_MILLI;
            if (store && milli % 1000 == 0) {
                readStore(now);
            }
            for (int index = 0; index < count; index++) {
                if (now >= nextPull[index]) {
                    nextPull[index] += interval * NANOS_PER_MILLI;
                    pull(tables.get(index), now);
                }
            }
            if (milli >= WARM_UP_SECONDS * 1000L && milli % 1000 == 500) {
                sample(now, freshness, members);
            }
        }
        String prefix = "| " + count + " | " + interval + " | " + (store ? "up" : "away") + " | ";
        print(prefix + "knowledge that makes a host fresh", freshness);
        print(prefix + "one member at one host", members);
    }

    private void readStore(long now) {
        for (int reader = 0; reader < 2 * DATA_CENTRES && reader < tables.size(); reader++) {
            tables.get(reader).recordStoreRead(now, roster.version(), 1);
        }
    }

    private void pull(FreshnessTable asking, long now) {
        Member peer = peerSelector.nextPeer(roster, asking.self()).orElseThrow();
        FreshnessTable answering = tables.get(roster.rank(peer.id()));
        asking.merge(peer.id(), now, answering.answer(now), now);
    }

    private void sample(long now, List<Double> freshness, List<Double> members) {
        long limit = MembershipSettings.STANDARD.freshnessLimit().toNanos();
        for (FreshnessTable table : tables) {
            freshness.add((now - (table.freshUntilNanos() - limit)) / 1e9);
            HostId observed =
                    roster.members().get(random.nextInt(tables.size())).id();
            members.add(table.memberAge(observed, now)
                            .orElse(Duration.ofSeconds(100))
                            .toNanos()
                    / 1e9);
        }
    }

    private static void print(String prefix, List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        System.out.printf(
                "%s | %.2f | %.2f | %.2f | %.2f |%n",
                prefix,
                quantile(sorted, 0.5),
                quantile(sorted, 0.99),
                quantile(sorted, 0.999),
                sorted[sorted.length - 1]);
    }

    private static double quantile(double[] sorted, double quantile) {
        return sorted[(int) Math.min(sorted.length - 1, sorted.length * quantile)];
    }
}
