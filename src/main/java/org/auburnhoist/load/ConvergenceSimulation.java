package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.DoubleStream;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.PeerSelector;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterProposal;
import org.auburnhoist.core.membership.RosterProposer;
import org.auburnhoist.core.membership.StoreReaderSelector;
import org.auburnhoist.core.message.PullAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Simulates hosts, their network and the store. Hosts follow the same rules as the host process: pulls, announcements
 * to 3 members, two store readers per data centre, roster proposers, and joining by compare-and-swap. Regions are three
 * groups of data centres; the store is in the first and cannot be reached from the third during a partition.
 */
final class ConvergenceSimulation {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int REGIONS = 3;
    private static final int DATA_CENTRES = 8;
    private static final int SAME_REGION_MILLIS = 1;
    private static final int CROSS_REGION_MILLIS = 30;
    private static final int STORE_MILLIS = 3;
    private static final int ANNOUNCE_TARGETS = 3;
    private static final int MAX_JOIN_DELAY_MILLIS = 200;

    private final SplittableRandom random;
    private final int interval;
    private final int readMillis;
    private final PeerSelector peerSelector;
    private final RosterProposer rosterProposer = new RosterProposer(MembershipSettings.STANDARD);
    private final StoreReaderSelector readerSelector = new StoreReaderSelector(MembershipSettings.STANDARD);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<HostId, Host> byId = new HashMap<>();
    private Roster storedRoster;
    private long storedConfiguration = 2_000;
    private long now;
    private long order;
    private long configurationWritten;
    private long storeReads;
    private long storeWrites;
    private long lostWrites;
    private long pullCount;
    private long documentCount;
    private boolean partitioned;

    ConvergenceSimulation(int count, int interval, int readMillis, long seed) {
        this.random = new SplittableRandom(seed);
        this.interval = interval;
        this.readMillis = readMillis;
        this.peerSelector = new PeerSelector(random);
        this.storedRoster = SyntheticFleet.roster(count);
        for (int number = 0; number < count; number++) {
            Host host = new Host(number, storedRoster.members().get(number));
            hosts.add(host);
            schedule(random.nextInt(interval), () -> pullTick(host));
            schedule(random.nextInt(1_000), () -> storeTick(host));
        }
    }

    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One host; a removed host rejoins with a new incarnation. */
    private final class Host {
        final int number;
        Member member;
        FreshnessTable table;
        boolean stopped;
        boolean reading;
        boolean writing;
        long requestedConfiguration = 2_000;
        long adoptedAt = -1;
        long settledAt = -1;

        Host(int number, Member member) {
            this.number = number;
            this.member = member;
            this.table = newTable(member, storedRoster);
            byId.put(member.id(), this);
        }

        int region() {
            return number % DATA_CENTRES * REGIONS / DATA_CENTRES;
        }

        boolean isMember() {
            return table.roster().rank(member.id()) >= 0;
        }
    }

    private FreshnessTable newTable(Member member, Roster roster) {
        return new FreshnessTable(member.id(), MembershipSettings.STANDARD, roster, storedConfiguration, now);
    }

    void runUntil(int millis) {
        while (!events.isEmpty() && events.peek().time() <= millis * NANOS_PER_MILLI) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
        }
        now = millis * NANOS_PER_MILLI;
    }

    void writeConfiguration() {
        configurationWritten = now;
        storedConfiguration++;
    }

    void stopDataCentre(int dataCentre) {
        hosts.stream().filter(host -> host.number % DATA_CENTRES == dataCentre).forEach(host -> host.stopped = true);
    }

    void setPartitioned(boolean isPartitioned) {
        partitioned = isPartitioned;
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis * NANOS_PER_MILLI, order++, action));
    }

    private boolean connected(Host from, Host to) {
        boolean crosses = (from.region() == REGIONS - 1) != (to.region() == REGIONS - 1);
        return !to.stopped && !(partitioned && crosses);
    }

    private boolean reachesStore(Host host) {
        return !(partitioned && host.region() == REGIONS - 1);
    }

    private static int delay(Host from, Host to) {
        return from.region() == to.region() ? SAME_REGION_MILLIS : CROSS_REGION_MILLIS;
    }

    private static int storeDelay(Host host) {
        return host.region() == 0 ? STORE_MILLIS : CROSS_REGION_MILLIS + STORE_MILLIS;
    }

    private void pullTick(Host host) {
        if (!host.stopped) {
            peerSelector.nextPeer(host.table.roster(), host.table.self()).ifPresent(peer -> pull(host, peer));
            schedule(interval, () -> pullTick(host));
        }
    }

    private void pull(Host asking, Member peer) {
        Host answering = byId.get(peer.id());
        if (answering == null || !answering.member.id().equals(peer.id()) || !connected(asking, answering)) {
            return;
        }
        pullCount++;
        long sentAt = now;
        long knownRoster = asking.table.roster().version();
        long knownConfiguration = asking.table.configurationVersion();
        HostId askingAs = asking.member.id();
        int delay = delay(asking, answering);
        schedule(delay, () -> {
            FreshnessTable table = answering.table;
            boolean behind =
                    knownRoster > table.roster().version() || knownConfiguration > table.configurationVersion();
            if (behind && answering.isMember()) {
                table.roster().member(askingAs).ifPresent(member -> pull(answering, member));
            }
            PullAnswer answer = table.answer(now);
            schedule(delay, () -> handleAnswer(asking, askingAs, answering, peer.id(), sentAt, answer));
        });
    }

    private void handleAnswer(Host asking, HostId askingAs, Host from, HostId fromId, long sentAt, PullAnswer answer) {
        if (!asking.member.id().equals(askingAs)) {
            return;
        }
        boolean newConfiguration = answer.configurationVersion() > asking.table.configurationVersion();
        boolean newRoster = answer.rosterVersion() > asking.table.roster().version();
        if (!newConfiguration && !newRoster) {
            merge(asking, fromId, sentAt, answer);
            return;
        }
        documentCount++;
        // A head and two chunks are fetched one after the other, then parsed; a roster takes one exchange.
        int exchanges = newConfiguration ? 3 : 1;
        Roster roster = from.table.roster();
        adoptLater(
                asking,
                askingAs,
                2L * exchanges * delay(asking, from),
                answer.configurationVersion(),
                roster,
                () -> merge(asking, fromId, sentAt, answer));
    }

    /** A host reads each configuration version only once; the answer that starts the read is merged after it. */
    private void adoptLater(
            Host host, HostId as, long transfer, long configuration, Roster roster, Runnable afterwards) {
        boolean reads = configuration > host.requestedConfiguration;
        if (configuration > host.table.configurationVersion() && !reads) {
            return;
        }
        host.requestedConfiguration = Math.max(host.requestedConfiguration, configuration);
        schedule(transfer + (reads ? readMillis : 0), () -> {
            if (host.member.id().equals(as)) {
                adopt(host, configuration, roster);
                afterwards.run();
            }
        });
    }

    private void adopt(Host host, long configuration, Roster roster) {
        boolean newer = configuration > host.table.configurationVersion()
                || roster.version() > host.table.roster().version();
        if (configuration > host.table.configurationVersion()) {
            host.table.adoptConfiguration(configuration, now);
            host.adoptedAt = now;
        }
        boolean wasMember = host.isMember();
        host.table.adoptRoster(roster, now);
        if (wasMember && !host.isMember()) {
            restart(host);
        } else if (newer) {
            peerSelector
                    .randomPeers(host.table.roster(), host.table.self(), ANNOUNCE_TARGETS)
                    .forEach(peer -> pull(host, peer));
        }
    }

    /** Restarts a host that has been removed from the roster; it joins with a new incarnation. */
    private void restart(Host host) {
        Roster known = host.table.roster();
        byId.remove(host.member.id());
        host.member = SyntheticFleet.member(host.number, random.nextLong());
        host.table = newTable(host.member, known);
        byId.put(host.member.id(), host);
        host.reading = false;
        host.writing = false;
        join(host);
    }

    private void merge(Host host, HostId from, long sentAt, PullAnswer answer) {
        host.table.merge(from, sentAt, answer, now);
        if (host.settledAt < 0
                && configurationWritten > 0
                && host.table.settledConfigurationVersion() >= storedConfiguration) {
            host.settledAt = now;
        }
    }

    private void storeTick(Host host) {
        if (host.stopped) {
            return;
        }
        FreshnessTable table = host.table;
        if (!host.isMember()) {
            join(host);
        } else if (!table.isFresh(now) || readerSelector.isReader(table, now)) {
            read(host);
        }
        Optional<RosterProposal> proposal = mayPropose(table) ? rosterProposer.propose(table, now) : Optional.empty();
        proposal.ifPresent(
                change -> write(host, current -> current.version() == change.expectedVersion() ? change.next() : null));
        schedule(1_000, () -> storeTick(host));
    }

    /** Whether a proposal is possible; calling every host's proposer would take most of the simulation's time. */
    private boolean mayPropose(FreshnessTable table) {
        Roster roster = table.roster();
        return roster.hasChangesUpTo(roster.version())
                || roster.members().stream()
                        .anyMatch(member -> !table.isLive(member.id(), MembershipSettings.STANDARD.deadAfter(), now));
    }

    private void read(Host host) {
        if (host.reading || !reachesStore(host)) {
            return;
        }
        host.reading = true;
        storeReads++;
        long sentAt = now;
        HostId as = host.member.id();
        schedule(storeDelay(host), () -> {
            Roster roster = storedRoster;
            long configuration = storedConfiguration;
            schedule(storeDelay(host), () -> {
                host.reading = false;
                long transfer = configuration > host.table.configurationVersion() ? 4L * storeDelay(host) : 0;
                adoptLater(
                        host,
                        as,
                        transfer,
                        configuration,
                        roster,
                        () -> host.table.recordStoreRead(sentAt, roster.version(), configuration));
            });
        });
    }

    private void join(Host host) {
        write(host, current -> current.member(host.member.id()).isPresent() ? null : current.join(host.member));
    }

    /** Reads the roster and writes its successor by compare-and-swap; each takes one round trip to the store. */
    private void write(Host host, Function<Roster, @Nullable Roster> successor) {
        if (host.writing || !reachesStore(host)) {
            return;
        }
        host.writing = true;
        storeReads++;
        int delay = storeDelay(host);
        HostId as = host.member.id();
        schedule(delay, () -> {
            Roster read = storedRoster;
            schedule(2L * delay, () -> compareAndSwap(host, as, read, successor.apply(read), delay));
        });
    }

    private void compareAndSwap(Host host, HostId as, Roster read, @Nullable Roster next, int delay) {
        if (next == null || !host.member.id().equals(as)) {
            host.writing = false;
            return;
        }
        storeWrites++;
        boolean won = storedRoster.version() == read.version();
        if (won) {
            storedRoster = next;
        } else {
            lostWrites++;
        }
        schedule(delay, () -> {
            host.writing = false;
            if (won && host.member.id().equals(as)) {
                adopt(host, host.table.configurationVersion(), next);
            } else if (!host.isMember()) {
                schedule(random.nextInt(MAX_JOIN_DELAY_MILLIS), () -> {
                    if (!host.isMember()) {
                        join(host);
                    }
                });
            }
        });
    }

    void resetCounts() {
        storeReads = 0;
        storeWrites = 0;
        lostWrites = 0;
        pullCount = 0;
        documentCount = 0;
    }

    void printCounts() {
        System.out.println("store reads " + storeReads + ", store writes " + storeWrites + " (lost " + lostWrites
                + "), pulls " + pullCount + ", documents fetched " + documentCount);
    }

    /** Returns the seconds from the write of the configuration to its adoption by each host, sorted. */
    double[] adoptionSeconds() {
        return hosts.stream()
                .filter(host -> host.adoptedAt >= 0)
                .mapToDouble(host -> (host.adoptedAt - configurationWritten) / 1e9)
                .sorted()
                .toArray();
    }

    double firstSettledSeconds() {
        return settled().min().orElse(Double.NaN);
    }

    double lastSettledSeconds() {
        return hosts.stream().allMatch(host -> host.settledAt >= 0)
                ? settled().max().orElse(Double.NaN)
                : Double.NaN;
    }

    private DoubleStream settled() {
        return hosts.stream()
                .filter(host -> host.settledAt >= 0)
                .mapToDouble(host -> (host.settledAt - configurationWritten) / 1e9);
    }

    /** Whether every running host that reaches the store is a fresh member with the newest roster, which is settled. */
    boolean hasConverged() {
        return hosts.stream()
                        .filter(host -> !host.stopped && reachesStore(host))
                        .allMatch(host -> host.isMember()
                                && host.table.isFresh(now)
                                && host.table.roster().version() == storedRoster.version())
                && storedRoster.members().size() == reachable()
                && storedRoster.removed().isEmpty()
                && !storedRoster.hasChangesUpTo(storedRoster.version());
    }

    private long reachable() {
        return hosts.stream()
                .filter(host -> !host.stopped && reachesStore(host))
                .count();
    }

    String state() {
        long fresh = hosts.stream()
                .filter(host -> !host.stopped && host.table.isFresh(now))
                .count();
        long running = hosts.stream().filter(host -> !host.stopped).count();
        return String.format(
                Locale.ROOT,
                "roster version %d, members %d, unsettled sets %d, running %d, fresh %d, store reads %d, writes %d",
                storedRoster.version(),
                storedRoster.members().size(),
                storedRoster.voterSets().size(),
                running,
                fresh,
                storeReads,
                storeWrites);
    }
}
