package org.auburnhoist.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.dispatch.FloorSettings;
import org.auburnhoist.core.dispatch.LimitShares;
import org.auburnhoist.core.dispatch.RetryBudgetSettings;
import org.auburnhoist.core.dispatch.RetryState;
import org.auburnhoist.core.limit.FallbackLimiter;
import org.auburnhoist.core.membership.CoordinatorSelector;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ChunkAnswer;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.SchedulingParameters;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the slot brokers of a whole fleet in virtual time, on a network that can be partitioned.
 *
 * <p>Callers' requests arrive at all running hosts. The servers of the only service reject a fraction of them.
 */
final class SlotFleet {
    static final String SERVICE = "ledger";
    static final long MILLI = VirtualNetwork.MILLI;
    static final long SECOND = VirtualNetwork.SECOND;
    private static final long REPORT_NANOS = 500 * MILLI;
    private static final int MAX_ATTEMPTS = 3;
    static final long TARGET_MILLIS = 2_000;
    private static final long SERVER_START_MILLIS = 5;
    private static final long CRASHING = 77;
    private static final long CRASH_NANOS = 2 * MILLI;
    private static final long CONTACT_NANOS = 3 * SECOND;

    private final SplittableRandom random;
    private final Load load;
    private final Upstreams upstreams;
    private final List<Host> hosts = new ArrayList<>();
    private final List<UpstreamServer> servers;
    private final VirtualNetwork network = new VirtualNetwork();

    /** Times at which callers' requests arrived. */
    final List<Long> requests = new ArrayList<>();
    /** Times at which servers received a request that another one had received before. */
    final List<Long> retries = new ArrayList<>();
    /**
     * The time for which an attempt waited for a slot.
     *
     * @param askedNanos when the slot was requested
     * @param waitedNanos until it was granted or refused
     * @param granted whether it was granted
     */
    record Wait(long askedNanos, long waitedNanos, boolean granted) {}

    final List<Wait> waits = new ArrayList<>();

    /** Messages in which hosts compared their records of crashes, with answers. */
    int recordMessages;

    /** Bytes of hashes and copies in these messages, without frames and headers. */
    long recordBytes;

    /** Number of requests that a server accepted in the end. */
    int served;

    /**
     * An attempt of the crashing request that reached a server.
     *
     * @param arrivedNanos when its caller sent it
     * @param crashedNanos when it crashed the server
     */
    record Crash(long arrivedNanos, long crashedNanos) {}

    /** Attempts of the crashing request that reached a server. */
    final List<Crash> crashes = new ArrayList<>();

    /**
     * Load of the fleet.
     *
     * @param hosts number of hosts
     * @param servers number of servers of the service
     * @param requestsPerSecond callers' requests of all hosts together
     * @param rejectedFraction fraction of the arrivals that servers reject
     * @param retryRatio tolerated retries for each request
     * @param retrySlack additional tolerated retries of the service in ten seconds
     */
    record Load(
            int hosts,
            int servers,
            double requestsPerSecond,
            double rejectedFraction,
            double retryRatio,
            double retrySlack) {}

    /** The servers of the service. */
    interface Upstreams {
        /** Receives a request of one process of a host. */
        Reply receive(String server, HostId host, long nowNanos);

        /** Called when a host has received the response to a request. */
        default void replied(Reply reply, String server, HostId host, long nowNanos) {}
    }

    /**
     * A server's response.
     *
     * @param outcome outcome of the attempt
     * @param delayNanos time until the host receives it
     * @param notice what it says about further requests
     */
    record Reply(AttemptOutcome outcome, long delayNanos, ServerNotice notice) {}

    private final class Host extends VirtualNetwork.Node {
        SlotBroker broker;
        ServerNotices notices;
        FleetRecordExchange exchange;
        CoordinatorSelector coordinators;
        long startedNanos;

        Host() {
            network.super();
            broker = broker();
            exchange = exchange();
            coordinators = new CoordinatorSelector(fleet, name);
            notices = new ServerNotices();
        }

        private FleetRecordExchange exchange() {
            return new FleetRecordExchange(new CrashFleetRecord(broker.quarantine()), this);
        }

        /** Stands for the answer to a report to the coordinator, after which the records are compared. */
        void reportAnswered() {
            FleetMember coordinator = coordinators.coordinator(now());
            if (!coordinator.id().equals(id)) {
                exchange.tick(coordinator, now());
            }
        }

        private SlotBroker broker() {
            StoreCache cache = new StoreCache(new VersionOnlyBinding(), fleet, () -> {}, () -> {}, () -> {});
            cache.serversRead(ServerRegistrations.of(servers), StorePosition.ofRevision(1), now(), now(), "store");
            return new SlotBroker(
                    fleet,
                    cache,
                    this,
                    this,
                    id,
                    settings(name, load.retryRatio(), load.retrySlack()),
                    random.split(),
                    now -> true,
                    now());
        }

        @Override
        void started() {
            startedNanos = now();
            broker = broker();
            exchange = exchange();
            coordinators = new CoordinatorSelector(fleet, name);
            notices = new ServerNotices();
        }

        @Override
        void receive(Message request, HostId from, Consumer<Message> reply) {
            if (request instanceof SlotRequest slot) {
                broker.handleRequest(slot, from, now(), (answer, now) -> reply.accept(answer));
            } else if (request instanceof SlotRelease release) {
                broker.handleRelease(release, from, now());
                reply.accept(new Acknowledgement(true));
            } else if (exchange.handles(request)) {
                ChunkAnswer answer = exchange.handle(request, from, now());
                recordMessages += 2;
                recordBytes += bytes(request) + bytes(answer);
                reply.accept(answer);
            } else {
                reply.accept(new Acknowledgement(true));
            }
        }
    }

    private static long bytes(Message message) {
        return message instanceof ChunkAnswer chunk ? chunk.digest().length() + chunk.content().length : 0;
    }

    /** Creates a fleet of which the servers reject a fraction of the requests. */
    SlotFleet(Load load, long seed) {
        this(load, null, seed);
    }

    /** Creates a fleet with the given servers, or with servers that reject a fraction of the requests. */
    SlotFleet(Load load, @Nullable Upstreams upstreams, long seed) {
        this.load = load;
        this.upstreams = upstreams == null ? this::rejectSome : upstreams;
        this.random = new SplittableRandom(seed);
        this.servers = IntStream.range(0, load.servers())
                .mapToObj(number -> new UpstreamServer(
                        "i-" + number, SERVER_START_MILLIS, SERVICE, "10.0.0.9:" + number, "a", 6, false, 0))
                .toList();
        for (int number = 0; number < load.hosts(); number++) {
            hosts.add(new Host());
        }
        hosts.forEach(Host::start);
        listMembers();
        network.at(REPORT_NANOS, this::reportAll);
        network.at(nextArrival(), this::arrive);
    }

    static GatewaySettings settings(String name, double retryRatio, double retrySlack) {
        return new GatewaySettings(
                name,
                "a",
                1,
                new InetSocketAddress("127.0.0.1", 1),
                null,
                null,
                new InetSocketAddress("127.0.0.1", 1),
                Duration.ofSeconds(5),
                Duration.ofSeconds(5),
                new FallbackLimiter.Tolerance(5, 0.1, 20),
                new RetryBudgetSettings(retryRatio, retrySlack),
                new FloorSettings(0.7, Duration.ofSeconds(6)),
                1_000,
                true);
    }

    /** Schedules work at a time of the simulation. */
    void schedule(double second, Runnable work) {
        network.at((long) (second * SECOND), now -> work.run());
    }

    /** Runs the simulation until a time. */
    void runUntil(double second) {
        network.runUntil(second);
    }

    /** Partitions a fraction of the hosts, chosen at random, from all others. */
    void partition(double fraction, double seconds) {
        network.partition(node -> random.nextDouble() < fraction, seconds);
    }

    /** Partitions the hosts into groups that cannot reach each other. */
    void splitIntoGroups(int count, double seconds) {
        network.splitIntoGroups(count, seconds);
    }

    /** Whether a host is partitioned from all others or was within the last three seconds. */
    boolean isPartitionedOrWasRecently(String name) {
        return network.isPartitionedOrWasRecently(name);
    }

    /** Kills a fraction of the hosts, chosen at random; they restart a second later. */
    void kill(double fraction) {
        hosts.stream().filter(host -> random.nextDouble() < fraction).forEach(this::kill);
    }

    /** Starts a number of additional hosts. */
    void addHosts(int count) {
        for (int added = 0; added < count; added++) {
            Host host = new Host();
            hosts.add(host);
            host.start();
        }
        listMembers();
    }

    /** Kills the host that most hosts consider the dispatcher. */
    void killDispatcher() {
        Map<String, Integer> votes = new HashMap<>();
        hosts.forEach(host -> votes.merge(
                host.fleet
                        .firstAlive(LimitShares.placementKey(SERVICE), now())
                        .id()
                        .name(),
                1,
                Integer::sum));
        String most = votes.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
        hosts.stream().filter(host -> host.name.equals(most)).forEach(this::kill);
    }

    private void kill(Host host) {
        host.kill(this::listMembers);
    }

    private long now() {
        return network.nowNanos();
    }

    private void listMembers() {
        List<FleetMember> members = hosts.stream().map(Host::member).toList();
        hosts.stream().filter(host -> host.running).forEach(host -> {
            host.fleet.members(members, now());
            host.broker.membersChanged();
        });
    }

    private void reportAll(long atNanos) {
        for (Host host : hosts) {
            for (Host other : hosts) {
                if (host.running && other.running && network.canReach(host, other)) {
                    host.fleet.recordReport(other.name, true, atNanos);
                }
            }
        }
        for (Host host : hosts) {
            host.schedule(Duration.ofMillis(host.number * 37L % 500), now -> host.reportAnswered());
        }
        network.at(atNanos + REPORT_NANOS, this::reportAll);
    }

    private long nextArrival() {
        return now() + (long) (-Math.log(1 - random.nextDouble()) * SECOND / load.requestsPerSecond());
    }

    private void arrive(long atNanos) {
        requests.add(atNanos);
        List<Host> running = hosts.stream().filter(host -> host.running).toList();
        if (!running.isEmpty()) {
            Host host = running.get(random.nextInt(running.size()));
            host.broker.requestStarted(SERVICE, atNanos);
            attempt(new Request(
                    host, host.id, new RetryState(MAX_ATTEMPTS, true), atNanos + 6 * SECOND, random.nextLong()));
        }
        network.at(nextArrival(), this::arrive);
    }

    /** Sends a request that crashes each server that runs it, again and again, to hosts that are in touch. */
    void sendCrashingRequest(double second, double intervalSeconds) {
        network.at((long) (second * SECOND), now -> {
            List<Host> inTouch = hosts.stream()
                    .filter(host -> host.running
                            && now - host.startedNanos > CONTACT_NANOS
                            && !network.isPartitionedOrWasRecently(host.name))
                    .toList();
            if (!inTouch.isEmpty()) {
                Host host = inTouch.get(random.nextInt(inTouch.size()));
                host.broker.requestStarted(SERVICE, now);
                attempt(new Request(host, host.id, new RetryState(1, false), now + 6 * SECOND, CRASHING));
            }
            sendCrashingRequest(now / 1e9 + intervalSeconds * (0.5 + random.nextDouble()), intervalSeconds);
        });
    }

    /** Attempts that reached a server although they arrived over three seconds after the third crash. */
    long lateCrashes() {
        if (crashes.size() < 3) {
            return 0;
        }
        long third = crashes.stream().map(Crash::crashedNanos).sorted().toList().get(2);
        return crashes.stream()
                .filter(crash -> crash.arrivedNanos() > third + CONTACT_NANOS)
                .count();
    }

    private record Request(Host host, HostId process, RetryState retryState, long deadlineNanos, long fingerprint) {
        boolean isLost() {
            return !host.running || !host.id.equals(process);
        }
    }

    private void attempt(Request request) {
        long remainingMillis = (request.deadlineNanos() - now()) / MILLI;
        SchedulingParameters scheduling = new SchedulingParameters(
                0,
                TARGET_MILLIS,
                request.retryState().nextAttemptNumber(),
                "a",
                List.of(),
                request.retryState().allowedServers(),
                request.host().notices.limitsAmong(servers, now()));
        SlotRequest slotRequest = new SlotRequest(
                SERVICE,
                "route",
                "team",
                TrafficClass.LOOKUP,
                remainingMillis,
                request.fingerprint(),
                request.retryState().excludedServers(),
                scheduling);
        long askedNanos = now();
        request.host().broker.acquire(slotRequest, now(), (result, now) -> {
            SlotBroker.Slot slot = result.slot();
            if (slot != null && !request.isLost()) {
                send(request, slot);
            }
            waits.add(new Wait(askedNanos, now - askedNanos, slot != null));
        });
    }

    private Reply rejectSome(String server, HostId host, long atNanos) {
        boolean rejected = random.nextDouble() < load.rejectedFraction();
        AttemptOutcome outcome = rejected ? AttemptOutcome.REJECTED : AttemptOutcome.SUCCESS;
        return new Reply(outcome, (rejected ? 5 : 300) * MILLI, ServerNotice.NONE);
    }

    private void send(Request request, SlotBroker.Slot slot) {
        if (request.retryState().nextAttemptNumber() > 1) {
            retries.add(now());
        }
        long sentNanos = now();
        Host host = request.host();
        boolean crashing = request.fingerprint() == CRASHING;
        if (crashing) {
            crashes.add(new Crash(request.deadlineNanos() - 6 * SECOND, sentNanos + CRASH_NANOS));
        }
        Reply reply = crashing
                ? new Reply(AttemptOutcome.CONNECTION_LOST, CRASH_NANOS, ServerNotice.NONE)
                : upstreams.receive(slot.server(), host.id, sentNanos);
        network.at(sentNanos + reply.delayNanos(), now -> {
            if (request.isLost()) {
                return;
            }
            upstreams.replied(reply, slot.server(), host.id, now);
            host.notices.recordLimit(
                    slot.server(), SERVER_START_MILLIS, reply.notice().limit(), sentNanos, now);
            request.retryState().attemptEnded(slot.server(), reply.outcome(), true);
            host.broker.release(slot, reply.outcome(), 5_000, reply.notice(), now);
            boolean success = reply.outcome() == AttemptOutcome.SUCCESS;
            served += success ? 1 : 0;
            if (!success && request.retryState().mayRetry()) {
                attempt(request);
            }
        });
    }

    /**
     * The largest fraction of the tolerated retries that was used in any window of ten seconds; above 1 exceeds the
     * tolerance.
     */
    double worstBudgetUse() {
        long window = 10 * SECOND;
        double worstUse = 0;
        for (long end : retries) {
            long maxRequests = Math.max(
                    count(requests, end - window, end),
                    Math.max(
                            count(requests, end - 2 * window, end - window),
                            count(requests, end - window * 3 / 2, end - window / 2)));
            double allowed = load.retryRatio() * maxRequests + load.retrySlack();
            worstUse = Math.max(worstUse, count(retries, end - window, end) / allowed);
        }
        return worstUse;
    }

    private static long count(List<Long> times, long after, long until) {
        return position(times, until) - position(times, after);
    }

    private static int position(List<Long> times, long until) {
        int low = 0;
        int high = times.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (times.get(middle) <= until) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
