package org.auburnhoist.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.limit.LimitSettings;
import org.auburnhoist.core.limit.OutgoingHandover;
import org.auburnhoist.core.limit.TokenDecision;
import org.auburnhoist.core.limit.TokenReserves.OutgoingReturn;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.PullAnswer;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;

/** Decision logic of several hosts, connected by a network with message loss, delays and one-way partitions. */
public final class SimulatedFleet {
    /** The large clock rate error exposes rules that do not allow for it. */
    static final MembershipSettings SETTINGS = new MembershipSettings(
            Duration.ofSeconds(6), Duration.ofSeconds(8), 0.05, Duration.ofMillis(500), Duration.ofSeconds(1), 2);

    static final LimitSettings LIMITS = new LimitSettings(0.05, Duration.ofSeconds(1), Duration.ofMillis(500));
    /** The middle team's bucket takes 50 s to fill, longer than a takeover, which makes a second burst visible. */
    static final Map<String, Team> TEAMS = Map.of(
            "small", new Team("small", 2, 1, 1),
            "middle", new Team("middle", 0.2, 10, 1),
            "large", new Team("large", 60, 64, 1));

    static final double STEP = 0.05;
    private static final double LOSS = 0.03;
    private static final int SHARDS = 16;

    final SplittableRandom random;
    final FakeStore store;
    final SimulatedHost[] hosts;
    final boolean[][] linkDown;
    final boolean[] storeLinkDown;
    final boolean[] documentsLost;
    final TokenLimitChecker granted = new TokenLimitChecker(TEAMS);
    final TokenLimitChecker used = new TokenLimitChecker(TEAMS);
    final List<String> violations = new ArrayList<>();
    double time;
    double requestsPerStep = 8;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final TreeMap<Long, Double> settledRosters = new TreeMap<>();
    private final TreeMap<Long, Double> settledConfigurations = new TreeMap<>();
    private long order;

    SimulatedFleet(long seed, int count) {
        random = new SplittableRandom(seed);
        hosts = new SimulatedHost[count];
        linkDown = new boolean[count][count];
        storeLinkDown = new boolean[count];
        documentsLost = new boolean[count];
        HostId firstId = new HostId("host-0", 1);
        Member first = new Member(firstId, "192.0.2.1:1", "192.0.2.1:2", "dc-0", MemberState.SERVING, 1);
        store = new FakeStore(Roster.bootstrap(first, SHARDS), new FakeStore.Configuration(1, TEAMS));
        for (int index = 0; index < count; index++) {
            start(index, index == 0 ? 1 : random.nextLong());
        }
    }

    void start(int index, long incarnation) {
        double error = SETTINGS.clockRateError();
        double[] rates = {1 / (1 + error), 1, 1 + error};
        SimulatedHost host =
                new SimulatedHost(index, incarnation, rates[random.nextInt(rates.length)], random.split(), store, time);
        hosts[index] = host;
        host.nextPull = time + random.nextDouble() * 0.5;
        join(host);
    }

    void run(double seconds) {
        double end = time + seconds;
        while (time < end) {
            time += STEP;
            deliver();
            for (SimulatedHost host : hosts) {
                if (isRunning(host)) {
                    tick(host);
                }
            }
            for (int count = 0; count < requestsPerStep; count++) {
                request();
            }
            checkExclusiveShards();
            checkFreshHosts();
        }
    }

    boolean isRunning(SimulatedHost host) {
        return host.pausedUntil <= time && hosts[host.index] == host;
    }

    long now(SimulatedHost host) {
        return host.now(time);
    }

    boolean isFresh(int index) {
        return hosts[index].table.isFresh(now(hosts[index]));
    }

    private boolean canReachStore(SimulatedHost host) {
        return store.available && !storeLinkDown[host.index];
    }

    private void join(SimulatedHost host) {
        if (canReachStore(host) && !host.isMember()) {
            host.adopt(store.configuration, store.roster, now(host));
            if (!host.isMember()) {
                store.compareAndSwap(store.roster.version(), store.roster.join(host.member()));
                host.adopt(store.configuration, store.roster, now(host));
            }
        }
    }

    private void tick(SimulatedHost host) {
        long now = now(host);
        if (time >= host.nextPull) {
            host.nextPull = time + 0.5;
            host.peerSelector.nextPeer(host.table.roster(), host.id).ifPresent(peer -> pull(host, peer));
        }
        if (time >= host.nextRead && canReachStore(host)) {
            host.nextRead = time + 1;
            if (!host.isMember() && !host.stopping) {
                // A removed host restarts with a new incarnation.
                start(host.index, random.nextLong());
                return;
            }
            if (host.readerSelector.isReader(host.table, now)) {
                read(host, now);
            }
            host.rosterProposer
                    .propose(host.table, now)
                    .ifPresent(proposal -> schedule(0.1, host, () -> {
                        if (canReachStore(host)) {
                            store.compareAndSwap(proposal.expectedVersion(), proposal.next());
                        }
                    }));
        }
        sendHandovers(host, now);
        for (OutgoingReturn tokenReturn : host.reserves.expired(now)) {
            send(host, tokenReturn.owner(), 0.3, owner -> returnTokens(owner, tokenReturn));
        }
    }

    private void read(SimulatedHost host, long sentAt) {
        Roster roster = store.roster;
        FakeStore.Configuration configuration = store.configuration;
        schedule(0.2, host, () -> {
            if (!documentsLost[host.index]) {
                host.adopt(configuration, roster, now(host));
            }
            host.table.recordStoreRead(sentAt, roster.version(), configuration.version());
        });
    }

    private void pull(SimulatedHost host, Member peer) {
        long sentAt = now(host);
        send(host, peer.id(), 0.2, other -> {
            PullAnswer answer = other.table.answer(now(other));
            Roster roster = other.table.roster();
            FakeStore.Configuration configuration = other.configuration;
            // The versions may reach the requesting host without the documents.
            boolean withDocuments = !documentsLost[host.index] && random.nextDouble() > 0.1;
            answer(other, host, () -> {
                if (withDocuments) {
                    host.adopt(configuration, roster, now(host));
                }
                host.table.merge(other.id, sentAt, answer, now(host));
            });
        });
    }

    private void sendHandovers(SimulatedHost host, long now) {
        for (OutgoingHandover planned : host.handover.export(now)) {
            for (int attempt = 0; attempt < 3; attempt++) {
                send(
                        host,
                        planned.successor(),
                        2.0 * attempt + 0.3,
                        successor -> successor.handover.accept(host.id, planned.request(), now(successor)));
            }
        }
    }

    private void request() {
        SimulatedHost host = hosts[random.nextInt(hosts.length)];
        if (!isRunning(host) || !isFresh(host.index)) {
            return;
        }
        int choice = random.nextInt(10);
        String team = choice == 0 ? "small" : choice < 3 ? "middle" : "large";
        TokenDecision decision = host.reserves.decide(team, now(host));
        if (decision instanceof TokenDecision.Admit) {
            used.add(team, 1, time);
        }
        handleDecision(host, decision);
    }

    private void handleDecision(SimulatedHost host, TokenDecision decision) {
        if (decision instanceof TokenDecision.RequestTokens ask) {
            long sentAt = now(host);
            boolean[] done = {false};
            send(host, ask.owner(), 0.1, owner -> {
                TokenAnswer answer =
                        owner.buckets.request(new TokenRequest(ask.team(), ask.bucket(), ask.wanted()), now(owner));
                if (answer.granted() > 0) {
                    granted.add(ask.team(), answer.granted(), time);
                    used.add(ask.team(), 1, time);
                }
                answer(owner, host, () -> {
                    if (!done[0]) {
                        done[0] = true;
                        handleDecision(host, host.reserves.onAnswer(ask, sentAt, answer, now(host)));
                    }
                });
            });
            schedule(0.5, host, () -> {
                if (!done[0]) {
                    done[0] = true;
                    handleDecision(host, host.reserves.onNoAnswer(ask, now(host)));
                }
            });
        }
    }

    private void returnTokens(SimulatedHost owner, OutgoingReturn tokenReturn) {
        int accepted = owner.buckets.returnTokens(tokenReturn.message(), now(owner));
        granted.add(tokenReturn.message().team(), -accepted, time);
    }

    private void send(SimulatedHost from, HostId to, double maxDelay, Consumer<SimulatedHost> handler) {
        Optional<SimulatedHost> target = running(to);
        if (target.isEmpty() || linkDown[from.index][target.get().index] || random.nextDouble() < LOSS) {
            return;
        }
        schedule(maxDelay, target.get(), () -> handler.accept(target.get()));
    }

    private void answer(SimulatedHost from, SimulatedHost to, Runnable handler) {
        // The answer uses the connection that the requesting host opened.
        if (!linkDown[to.index][from.index] && random.nextDouble() >= LOSS) {
            schedule(0.2, to, handler);
        }
    }

    private Optional<SimulatedHost> running(HostId id) {
        for (SimulatedHost host : hosts) {
            if (host.id.equals(id)) {
                return Optional.of(host);
            }
        }
        return Optional.empty();
    }

    private void schedule(double maxDelay, SimulatedHost receiver, Runnable action) {
        events.add(new Event(time + random.nextDouble() * maxDelay, order++, receiver, action));
    }

    private void deliver() {
        List<Event> deferred = new ArrayList<>();
        while (!events.isEmpty() && events.peek().at() <= time) {
            Event event = events.poll();
            if (isRunning(event.receiver())) {
                event.action().run();
            } else if (hosts[event.receiver().index] == event.receiver()) {
                // A paused process handles the messages that arrived meanwhile when it resumes.
                deferred.add(new Event(event.receiver().pausedUntil, event.order(), event.receiver(), event.action()));
            }
        }
        events.addAll(deferred);
    }

    int grantingHosts(int shard) {
        int granting = 0;
        for (SimulatedHost host : hosts) {
            if (isRunning(host) && host.ownership.activePeriod(shard, now(host)).isPresent()) {
                granting++;
            }
        }
        return granting;
    }

    private void checkExclusiveShards() {
        for (int shard = 0; shard < SHARDS; shard++) {
            int granting = grantingHosts(shard);
            if (granting > 1) {
                violations.add("shard " + shard + " has " + granting + " granting hosts at " + time);
            }
        }
    }

    private void checkFreshHosts() {
        for (SimulatedHost host : hosts) {
            settledRosters.putIfAbsent(host.table.settledRosterVersion(), time);
            settledConfigurations.putIfAbsent(host.table.settledConfigurationVersion(), time);
        }
        double limit = SETTINGS.freshnessLimit().toSeconds() * (1 + SETTINGS.clockRateError()) + STEP;
        for (SimulatedHost host : hosts) {
            if (isRunning(host) && host.table.isFresh(now(host))) {
                checkHas(host, "roster", settledRosters, host.table.roster().version(), time - limit);
                checkHas(host, "configuration", settledConfigurations, host.configuration.version(), time - limit);
            }
        }
    }

    private void checkHas(
            SimulatedHost host, String kind, TreeMap<Long, Double> settled, long heldVersion, double settledBefore) {
        for (Map.Entry<Long, Double> newer : settled.tailMap(heldVersion, false).entrySet()) {
            if (newer.getValue() < settledBefore) {
                violations.add(host.id + " is fresh at " + time + " without " + kind + " " + newer.getKey());
            }
        }
    }

    private record Event(double at, long order, SimulatedHost receiver, Runnable action) {}
}
