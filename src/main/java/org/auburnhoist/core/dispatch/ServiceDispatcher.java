package org.auburnhoist.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.DetectionProfile;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.jspecify.annotations.Nullable;

/**
 * Grants the slots of one service in fair order, on servers that its judge keeps in use.
 *
 * <pre>{@code
 * SlotDispatcher dispatcher = ServiceDispatcher.create(DispatchSettings.DEFAULT, random);
 * dispatcher.configure(service, teamWeights, nowNanos);
 * for (SlotDecision decision : dispatcher.request(slotRequest, asking, replyToken, nowNanos)) {
 *     reply(decision.replyToken(), decision.answer());
 * }
 * }</pre>
 */
public final class ServiceDispatcher implements SlotDispatcher {
    private static final long LEAST_RETRY_AFTER_MILLIS = 100;
    private static final long LONGEST_RETRY_AFTER_MILLIS = 60_000;
    private static final Service NO_SERVICE = new Service("", 0, 0, 1, DetectionProfile.CAUTIOUS, List.of());

    private final DispatchSettings settings;
    private final WaitingQueue queue;
    private final HealthJudge health;
    private final ServerOrder serverOrder;
    private final boolean sharesClasses;
    private final Quarantine quarantine = new Quarantine();
    private final GrantTable grants;
    private final ServiceRate rate;
    private Service service = NO_SERVICE;
    private boolean configured;

    ServiceDispatcher(
            DispatchSettings settings,
            WaitingQueue queue,
            HealthJudge health,
            ServerOrder serverOrder,
            boolean sharesClasses,
            RandomGenerator random) {
        this.settings = settings;
        this.queue = queue;
        this.health = health;
        this.serverOrder = serverOrder;
        this.sharesClasses = sharesClasses;
        this.grants = new GrantTable(random.nextLong());
        this.rate = new ServiceRate(settings.initialHoldTime());
    }

    /** Creates a dispatcher without evidence, grants or waiting requests. */
    public static SlotDispatcher create(DispatchSettings settings, RandomGenerator random) {
        return new ServiceDispatcher(
                settings,
                new FairQueue(settings.queueLimitPerClass()),
                new ServerHealth(),
                ServerOrder.leastUsed(random),
                true,
                random);
    }

    /** Creates the baseline: first come, first served; round robin; ejection after consecutive errors. */
    public static SlotDispatcher createBaseline(DispatchSettings settings, RandomGenerator random) {
        return new ServiceDispatcher(
                settings,
                new ArrivalQueue(settings.queueLimitPerClass()),
                new ConsecutiveErrorHealth(),
                ServerOrder.roundRobin(),
                false,
                random);
    }

    @Override
    public List<SlotDecision> request(SlotRequest request, HostId asking, long replyToken, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        if (!configured || !request.service().equals(service.name())) {
            decisions.add(refuse(replyToken, SlotVerdict.UNKNOWN_SERVICE, LEAST_RETRY_AFTER_MILLIS));
            return decisions;
        }
        long deadline = nowNanos + Math.max(0, request.deadlineMillis()) * 1_000_000L;
        WaitingRequest waiting = new WaitingRequest(request, asking, replyToken, deadline);
        if (quarantine.remainingNanos(request.fingerprint(), nowNanos) > 0) {
            decisions.add(refuseQuarantined(waiting, nowNanos));
            return decisions;
        }
        boolean grantableNow = chooseServer(waiting, nowNanos) != null
                && classesThatMayTakeSlots(request.trafficClass(), nowNanos).contains(request.trafficClass())
                && queue.ahead(request.trafficClass(), request.team()) == 0;
        double excess = secondsBeyondDeadline(waiting, 0, nowNanos);
        if (!grantableNow && (excess > 0 || !hasUsableServer(waiting, nowNanos))) {
            decisions.add(refuse(replyToken, SlotVerdict.OVERLOADED, retryAfterMillis(excess)));
            return decisions;
        }
        WaitingRequest displaced = queue.add(waiting);
        if (displaced != null) {
            decisions.add(refuseOverloaded(displaced, nowNanos));
        }
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public List<SlotDecision> release(SlotRelease release, HostId asking, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        Grant grant = grants.release(release.grantId(), asking);
        if (grant == null) {
            return decisions;
        }
        Observation observation = new Observation(
                grant.server(),
                grant.trafficClass(),
                asking,
                grant.fingerprint(),
                release.outcome(),
                release.latencyMicros());
        int quarantined = quarantine.size();
        if (release.outcome() == AttemptOutcome.CONNECTION_LOST) {
            quarantine.connectionLost(grant, grants.onServer(grant.server()), nowNanos);
        } else if (release.outcome() == AttemptOutcome.SUCCESS || release.outcome() == AttemptOutcome.SERVER_ERROR) {
            quarantine.survived(grant.fingerprint(), nowNanos);
        }
        if (quarantine.size() > quarantined) {
            refuseNewlyQuarantined(decisions, nowNanos);
        }
        health.observe(observation, nowNanos);
        if (observation.isEvidence()) {
            rate.released(grant, release.latencyMicros(), nowNanos);
        }
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public List<SlotDecision> configure(Service newService, Map<String, Integer> teamWeights, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        service = newService;
        configured = true;
        queue.setWeights(teamWeights);
        health.configure(newService, nowNanos);
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public List<SlotDecision> memberRemoved(HostId member, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        grants.removeIf(grant -> grant.host().equals(member));
        queue.removeIf(waiting -> waiting.asking().equals(member));
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public List<SlotDecision> tick(long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        health.tick(nowNanos);
        quarantine.forget(nowNanos);
        grants.removeIf(grant -> nowNanos - grant.expiresNanos() >= 0);
        queue.removeIf(waiting -> nowNanos - waiting.deadlineNanos() >= 0 || !hasUsableServer(waiting, nowNanos))
                .forEach(waiting -> decisions.add(refuseOverloaded(waiting, nowNanos)));
        queue.trimTails(waiting -> secondsBeyondDeadline(waiting, 1, nowNanos) > 0)
                .forEach(waiting -> decisions.add(refuseOverloaded(waiting, nowNanos)));
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public Set<String> ejectedServers() {
        return health.ejected();
    }

    @Override
    public List<HealthChange> drainHealthChanges() {
        return health.drainChanges();
    }

    private void grantWaiting(List<SlotDecision> decisions, long nowNanos) {
        int slots = service.servers().size() * service.slotsPerServer();
        while (grants.size() < slots && !queue.backlogged().isEmpty()) {
            ServerChoice choice = new ServerChoice();
            WaitingRequest next = queue.poll(classesThatMayTakeSlots(null, nowNanos), waiting -> {
                choice.server = chooseServer(waiting, nowNanos);
                return choice.server != null;
            });
            String server = choice.server;
            if (next == null || server == null) {
                return;
            }
            decisions.add(grant(next, server, nowNanos));
        }
    }

    /** The server found while the queue looks for a request that can be granted. */
    private static final class ServerChoice {
        @Nullable
        String server;
    }

    private SlotDecision grant(WaitingRequest waiting, String server, long nowNanos) {
        TrafficClass trafficClass = waiting.request().trafficClass();
        queue.charge(trafficClass, rate.holdSeconds(trafficClass));
        Duration margin =
                trafficClass == TrafficClass.DOWNLOAD ? settings.downloadGrantMargin() : settings.grantMargin();
        Grant grant = grants.add(waiting, server, nowNanos, waiting.deadlineNanos() + margin.toNanos());
        serverOrder.granted(server);
        return new SlotDecision(waiting.replyToken(), new SlotAnswer(SlotVerdict.GRANTED, server, grant.id(), 0));
    }

    private @Nullable String chooseServer(WaitingRequest waiting, long nowNanos) {
        SlotRequest request = waiting.request();
        Set<String> suspectedOn = quarantine.diedWith(request.fingerprint());
        if (!suspectedOn.isEmpty() && grants.usedBy(request.fingerprint()) > 0) {
            return null;
        }
        List<ServerOrder.Candidate> candidates = new ArrayList<>();
        for (Server server : service.servers()) {
            int used = grants.used(server.name());
            boolean free = used < service.slotsPerServer()
                    && grants.used(server.name(), request.trafficClass())
                            < health.slotLimit(server.name(), request.trafficClass(), nowNanos);
            if (free && isAllowed(waiting, server, nowNanos)) {
                candidates.add(new ServerOrder.Candidate(server.name(), used));
            }
        }
        List<ServerOrder.Candidate> preferred = candidates.stream()
                .filter(candidate -> !suspectedOn.contains(candidate.server()))
                .toList();
        return serverOrder.choose(preferred.isEmpty() ? candidates : preferred);
    }

    private boolean isAllowed(WaitingRequest waiting, Server server, long nowNanos) {
        SlotRequest request = waiting.request();
        return !server.leaving()
                && !request.excludedServers().contains(server.name())
                && !health.avoids(waiting.asking(), server.name(), request.trafficClass(), nowNanos);
    }

    private boolean hasUsableServer(WaitingRequest waiting, long nowNanos) {
        return service.servers().stream()
                .anyMatch(server -> isAllowed(waiting, server, nowNanos)
                        && health.slotLimit(server.name(), waiting.request().trafficClass(), nowNanos) > 0);
    }

    /** Downloads get at most half of the slots while others wait; {@code arriving} counts as waiting. */
    private Set<TrafficClass> classesThatMayTakeSlots(@Nullable TrafficClass arriving, long nowNanos) {
        Set<TrafficClass> classes = EnumSet.allOf(TrafficClass.class);
        if (!sharesClasses) {
            return classes;
        }
        Set<TrafficClass> others = queue.backlogged();
        if (arriving != null) {
            others.add(arriving);
        }
        others.remove(TrafficClass.DOWNLOAD);
        int downloads = grants.used(TrafficClass.DOWNLOAD);
        if (!others.isEmpty()
                && downloads > 0
                && downloads >= Math.max(1, totalSlots(TrafficClass.DOWNLOAD, nowNanos) / 2)) {
            classes.remove(TrafficClass.DOWNLOAD);
        }
        return classes;
    }

    private int totalSlots(TrafficClass trafficClass, long nowNanos) {
        return service.servers().stream()
                .mapToInt(server ->
                        Math.min(service.slotsPerServer(), health.slotLimit(server.name(), trafficClass, nowNanos)))
                .sum();
    }

    /**
     * By how many seconds the answer would come after the deadline at the present rate; not positive if in time.
     *
     * @param counted 1 if the request itself is in the queue and must not be counted as being ahead of itself
     */
    private double secondsBeyondDeadline(WaitingRequest waiting, int counted, long nowNanos) {
        TrafficClass trafficClass = waiting.request().trafficClass();
        double slots = Math.max(1, totalSlots(trafficClass, nowNanos));
        Set<TrafficClass> sharing = EnumSet.of(trafficClass);
        sharing.addAll(queue.backlogged());
        double share = sharesClasses ? slots / sharing.size() : slots;
        int ahead = Math.max(0, queue.ahead(trafficClass, waiting.request().team()) - counted);
        double wait = (ahead + 1) * rate.holdSeconds(trafficClass) / share;
        double left = (waiting.deadlineNanos() - nowNanos) / 1e9;
        return wait + rate.latencySeconds(trafficClass) - left;
    }

    private void refuseNewlyQuarantined(List<SlotDecision> decisions, long nowNanos) {
        queue.removeIf(waiting -> quarantine.remainingNanos(waiting.request().fingerprint(), nowNanos) > 0)
                .forEach(waiting -> decisions.add(refuseQuarantined(waiting, nowNanos)));
    }

    private SlotDecision refuseQuarantined(WaitingRequest waiting, long nowNanos) {
        long millis = quarantine.remainingNanos(waiting.request().fingerprint(), nowNanos) / 1_000_000L + 1;
        return refuse(waiting.replyToken(), SlotVerdict.QUARANTINED, millis);
    }

    private SlotDecision refuseOverloaded(WaitingRequest waiting, long nowNanos) {
        double excess = secondsBeyondDeadline(waiting, 0, nowNanos);
        return refuse(waiting.replyToken(), SlotVerdict.OVERLOADED, retryAfterMillis(excess));
    }

    private static long retryAfterMillis(double seconds) {
        long millis = (long) Math.ceil(seconds * 1000);
        return Math.min(LONGEST_RETRY_AFTER_MILLIS, Math.max(LEAST_RETRY_AFTER_MILLIS, millis));
    }

    private static SlotDecision refuse(long replyToken, SlotVerdict verdict, long retryAfterMillis) {
        return new SlotDecision(replyToken, new SlotAnswer(verdict, "", 0, retryAfterMillis));
    }
}
