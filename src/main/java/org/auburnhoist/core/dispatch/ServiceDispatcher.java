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
 * Grants the slots of one service by fair queueing, on servers that its outlier detector has not ejected.
 *
 * <pre>{@code
 * SlotDispatcher dispatcher = ServiceDispatcher.create(DispatchSettings.DEFAULT, random);
 * dispatcher.configure(service, teamWeights, nowNanos);
 * for (SlotDecision decision : dispatcher.request(slotRequest, requestingHost, replyToken, nowNanos)) {
 *     reply(decision.replyToken(), decision.answer());
 * }
 * }</pre>
 */
public final class ServiceDispatcher implements SlotDispatcher {
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
    private static final Service NO_SERVICE = new Service("", 0, 0, 1, DetectionProfile.CAUTIOUS, List.of());

    private final DispatchSettings settings;
    private final RequestQueue queue;
    private final OutlierDetector outlierDetector;
    private final LoadBalancingPolicy balancingPolicy;
    private final boolean sharesSlotsBetweenClasses;
    private final Quarantine quarantine = new Quarantine();
    private final GrantTable grants;
    private final ServiceTimeEstimator serviceTimes;
    private Service service = NO_SERVICE;
    private boolean configured;

    ServiceDispatcher(
            DispatchSettings settings,
            RequestQueue queue,
            OutlierDetector outlierDetector,
            LoadBalancingPolicy balancingPolicy,
            boolean sharesSlotsBetweenClasses,
            RandomGenerator random) {
        this.settings = settings;
        this.queue = queue;
        this.outlierDetector = outlierDetector;
        this.balancingPolicy = balancingPolicy;
        this.sharesSlotsBetweenClasses = sharesSlotsBetweenClasses;
        this.grants = new GrantTable(random.nextLong());
        this.serviceTimes = new ServiceTimeEstimator(settings.initialHoldTime());
    }

    /** Creates an empty dispatcher with fair queueing, least-loaded balancing and CUSUM outlier detection. */
    public static SlotDispatcher create(DispatchSettings settings, RandomGenerator random) {
        return new ServiceDispatcher(
                settings,
                new FairQueue(settings.queueLimitPerClass()),
                new CusumOutlierDetector(),
                LoadBalancingPolicy.leastLoaded(random),
                true,
                random);
    }

    /** Creates an empty baseline dispatcher: FIFO queue, round robin, and ejection after consecutive errors. */
    public static SlotDispatcher createBaseline(DispatchSettings settings, RandomGenerator random) {
        return new ServiceDispatcher(
                settings,
                new FifoQueue(settings.queueLimitPerClass()),
                new ConsecutiveErrorDetector(),
                LoadBalancingPolicy.roundRobin(),
                false,
                random);
    }

    @Override
    public List<SlotDecision> request(SlotRequest request, HostId requestingHost, long replyToken, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        if (!configured || !request.service().equals(service.name())) {
            decisions.add(refuse(replyToken, SlotVerdict.UNKNOWN_SERVICE, MIN_RETRY_AFTER_MILLIS));
            return decisions;
        }
        long deadline = nowNanos + Math.max(0, request.deadlineMillis()) * 1_000_000L;
        WaitingRequest waiting = new WaitingRequest(request, requestingHost, replyToken, deadline);
        if (quarantine.remainingNanos(request.fingerprint(), nowNanos) > 0) {
            decisions.add(refuseQuarantined(waiting, nowNanos));
            return decisions;
        }
        boolean grantableNow = selectServer(waiting, nowNanos) != null
                && grantableClasses(request.trafficClass(), nowNanos).contains(request.trafficClass())
                && queue.countAhead(request.trafficClass(), request.team()) == 0;
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
    public List<SlotDecision> release(SlotRelease release, HostId requestingHost, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        Grant grant = grants.release(release.grantId(), requestingHost);
        if (grant == null) {
            return decisions;
        }
        Observation observation = new Observation(
                grant.server(),
                grant.trafficClass(),
                requestingHost,
                grant.fingerprint(),
                release.outcome(),
                release.latencyMicros());
        int quarantined = quarantine.size();
        if (release.outcome() == AttemptOutcome.CONNECTION_LOST) {
            quarantine.connectionLost(grant, grants.onServer(grant.server()), nowNanos);
        } else if (release.outcome() == AttemptOutcome.SUCCESS || release.outcome() == AttemptOutcome.SERVER_ERROR) {
            quarantine.completed(grant.fingerprint(), nowNanos);
        }
        if (quarantine.size() > quarantined) {
            refuseNewlyQuarantined(decisions, nowNanos);
        }
        outlierDetector.observe(observation, nowNanos);
        if (observation.isEvidence()) {
            serviceTimes.record(grant, release.latencyMicros(), nowNanos);
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
        outlierDetector.configure(newService, nowNanos);
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public List<SlotDecision> memberRemoved(HostId member, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        grants.removeIf(grant -> grant.host().equals(member));
        queue.removeIf(waiting -> waiting.requestingHost().equals(member));
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public List<SlotDecision> tick(long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        outlierDetector.tick(nowNanos);
        quarantine.removeExpired(nowNanos);
        grants.removeIf(grant -> nowNanos - grant.expiresNanos() >= 0);
        queue.removeIf(waiting -> nowNanos - waiting.deadlineNanos() >= 0 || !hasUsableServer(waiting, nowNanos))
                .forEach(waiting -> decisions.add(refuseOverloaded(waiting, nowNanos)));
        queue.removeFromTails(waiting -> secondsBeyondDeadline(waiting, 1, nowNanos) > 0)
                .forEach(waiting -> decisions.add(refuseOverloaded(waiting, nowNanos)));
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    @Override
    public Set<String> ejectedServers() {
        return outlierDetector.ejectedServers();
    }

    @Override
    public List<HealthChange> drainHealthChanges() {
        return outlierDetector.drainChanges();
    }

    private void grantWaiting(List<SlotDecision> decisions, long nowNanos) {
        int slots = service.servers().size() * service.slotsPerServer();
        while (grants.size() < slots && !queue.backloggedClasses().isEmpty()) {
            SelectedServer selected = new SelectedServer();
            WaitingRequest next = queue.poll(grantableClasses(null, nowNanos), waiting -> {
                selected.server = selectServer(waiting, nowNanos);
                return selected.server != null;
            });
            String server = selected.server;
            if (next == null || server == null) {
                return;
            }
            decisions.add(grant(next, server, nowNanos));
        }
    }

    /** Holds the server that was selected while the queue is searched for a request that can be granted. */
    private static final class SelectedServer {
        @Nullable
        String server;
    }

    private SlotDecision grant(WaitingRequest waiting, String server, long nowNanos) {
        TrafficClass trafficClass = waiting.request().trafficClass();
        queue.charge(trafficClass, serviceTimes.holdSeconds(trafficClass));
        Duration margin =
                trafficClass == TrafficClass.DOWNLOAD ? settings.downloadGrantMargin() : settings.grantMargin();
        Grant grant = grants.add(waiting, server, nowNanos, waiting.deadlineNanos() + margin.toNanos());
        balancingPolicy.granted(server);
        return new SlotDecision(waiting.replyToken(), new SlotAnswer(SlotVerdict.GRANTED, server, grant.id(), 0));
    }

    private @Nullable String selectServer(WaitingRequest waiting, long nowNanos) {
        SlotRequest request = waiting.request();
        Set<String> suspectedOn = quarantine.crashedServers(request.fingerprint());
        if (!suspectedOn.isEmpty() && grants.usedBy(request.fingerprint()) > 0) {
            return null;
        }
        List<LoadBalancingPolicy.Candidate> candidates = new ArrayList<>();
        for (Server server : service.servers()) {
            int used = grants.used(server.name());
            boolean free = used < service.slotsPerServer()
                    && grants.used(server.name(), request.trafficClass())
                            < outlierDetector.slotLimit(server.name(), request.trafficClass(), nowNanos);
            if (free && isEligible(waiting, server, nowNanos)) {
                candidates.add(new LoadBalancingPolicy.Candidate(server.name(), used));
            }
        }
        List<LoadBalancingPolicy.Candidate> preferred = candidates.stream()
                .filter(candidate -> !suspectedOn.contains(candidate.server()))
                .toList();
        return balancingPolicy.select(preferred.isEmpty() ? candidates : preferred);
    }

    private boolean isEligible(WaitingRequest waiting, Server server, long nowNanos) {
        SlotRequest request = waiting.request();
        return !server.leaving()
                && !request.excludedServers().contains(server.name())
                && !outlierDetector.avoidsPath(
                        waiting.requestingHost(), server.name(), request.trafficClass(), nowNanos);
    }

    private boolean hasUsableServer(WaitingRequest waiting, long nowNanos) {
        return service.servers().stream()
                .anyMatch(server -> isEligible(waiting, server, nowNanos)
                        && outlierDetector.slotLimit(
                                        server.name(), waiting.request().trafficClass(), nowNanos)
                                > 0);
    }

    /** Downloads get at most half of the slots while other classes wait; {@code arriving} counts as waiting. */
    private Set<TrafficClass> grantableClasses(@Nullable TrafficClass arriving, long nowNanos) {
        Set<TrafficClass> classes = EnumSet.allOf(TrafficClass.class);
        if (!sharesSlotsBetweenClasses) {
            return classes;
        }
        Set<TrafficClass> others = queue.backloggedClasses();
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
                .mapToInt(server -> Math.min(
                        service.slotsPerServer(), outlierDetector.slotLimit(server.name(), trafficClass, nowNanos)))
                .sum();
    }

    /**
     * Estimated time in seconds by which the response would miss the deadline; not positive if it would be in time.
     *
     * @param counted 1 if the request itself is in the queue and must not be counted as being ahead of itself, else 0
     */
    private double secondsBeyondDeadline(WaitingRequest waiting, int counted, long nowNanos) {
        TrafficClass trafficClass = waiting.request().trafficClass();
        double slots = Math.max(1, totalSlots(trafficClass, nowNanos));
        Set<TrafficClass> sharing = EnumSet.of(trafficClass);
        sharing.addAll(queue.backloggedClasses());
        double share = sharesSlotsBetweenClasses ? slots / sharing.size() : slots;
        int ahead = Math.max(0, queue.countAhead(trafficClass, waiting.request().team()) - counted);
        double wait = (ahead + 1) * serviceTimes.holdSeconds(trafficClass) / share;
        double left = (waiting.deadlineNanos() - nowNanos) / 1e9;
        return wait + serviceTimes.latencySeconds(trafficClass) - left;
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
        return Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, millis));
    }

    private static SlotDecision refuse(long replyToken, SlotVerdict verdict, long retryAfterMillis) {
        return new SlotDecision(replyToken, new SlotAnswer(verdict, "", 0, retryAfterMillis));
    }
}
