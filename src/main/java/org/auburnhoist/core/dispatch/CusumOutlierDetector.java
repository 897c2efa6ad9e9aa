package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.dispatch.ServerState.Use;
import org.auburnhoist.core.message.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Detects outliers passively from the outcomes of requests, per server and traffic class.
 *
 * <p>A server is ejected for a class if its failures, or its slow responses, are much likelier to come from a faulty
 * server than from one like its peers. If only one host reports them, only that host avoids the server. Failures of a
 * request that fails on several servers are ignored.
 */
public final class CusumOutlierDetector implements OutlierDetector {
    /** Connections to one server that are lost within this time count as one failure: one crash ends them all. */
    private static final long SAME_CRASH_NANOS = 100_000_000L;

    /** Time for which a host avoids a server if only this host reports failures of the server. */
    private static final long PATH_AVOIDANCE_NANOS = 10_000_000_000L;

    /** Number of ejection times in use after which the next ejection of a server has the base duration again. */
    private static final int EJECTION_TIMES_UNTIL_RESET = 6;

    /** Minimum share of slow responses for an ejection; the share must also be twice that of the peers. */
    private static final double MIN_SLOW_SHARE = 0.12;

    /** Minimum difference between the bad shares of two servers for ejecting the worse one in place of the other. */
    private static final double REPLACEMENT_MARGIN = 0.1;

    private final Map<TrafficClass, Map<String, ServerState>> states = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, PeerBaseline> baselines = new EnumMap<>(TrafficClass.class);
    private final Map<String, Long> warmUpStartNanos = new HashMap<>();
    private final FaultyRequestDetector faultyRequests = new FaultyRequestDetector();
    private final List<HealthChange> changes = new ArrayList<>();
    private DetectionSettings settings = DetectionSettings.CAUTIOUS;
    private @Nullable Service service;
    private Map<String, Server> activeServers = Map.of();

    /** Creates a detector without outcomes; {@link #configure} must be called first. */
    public CusumOutlierDetector() {
        for (TrafficClass trafficClass : TrafficClass.values()) {
            states.put(trafficClass, new HashMap<>());
            baselines.put(trafficClass, new PeerBaseline());
        }
    }

    @Override
    public void configure(Service newService, long nowNanos) {
        boolean first = service == null;
        service = newService;
        settings = DetectionSettings.of(newService.profile());
        Map<String, Server> servers = new HashMap<>();
        newService.servers().stream().filter(server -> !server.leaving()).forEach(server -> {
            servers.put(server.name(), server);
            Server before = activeServers.get(server.name());
            if (before == null || !before.address().equals(server.address())) {
                // Servers of the first configuration are considered warmed up.
                warmUpStartNanos.put(
                        server.name(), first ? nowNanos - settings.warmUp().toNanos() : nowNanos);
                states.values().forEach(byName -> byName.remove(server.name()));
            }
        });
        activeServers = servers;
        warmUpStartNanos.keySet().retainAll(servers.keySet());
        states.values().forEach(byName -> byName.keySet().retainAll(servers.keySet()));
        readmitToFloor(nowNanos);
    }

    /** Readmits the ejected servers with the lowest bad share until the floor is satisfied. */
    private void readmitToFloor(long nowNanos) {
        while (ejectedServers().size() > maxEjected()) {
            readmitLeastBad(nowNanos, "the floor rose above the number of servers in use");
        }
    }

    private void readmitLeastBad(long nowNanos, String reason) {
        ejectedServers().stream()
                .min(Comparator.comparingDouble(this::badShare).thenComparing(Comparator.naturalOrder()))
                .ifPresent(server -> states.forEach((trafficClass, byName) -> {
                    ServerState state = byName.get(server);
                    if (state != null && state.isOutOfUse()) {
                        readmit(server, trafficClass, state, nowNanos, reason);
                    }
                }));
    }

    private double badShare(String server) {
        return states.values().stream()
                .map(byName -> byName.get(server))
                .filter(state -> state != null && state.isOutOfUse())
                .mapToDouble(state -> state == null ? 0 : state.badShare)
                .max()
                .orElse(0);
    }

    @Override
    public void observe(Observation observation, long nowNanos) {
        if (!observation.isEvidence() || !activeServers.containsKey(observation.server())) {
            return;
        }
        ServerState state = stateOf(observation.server(), observation.trafficClass());
        if (observation.isFailure()) {
            if (faultyRequests.recordFailure(observation.fingerprint(), observation.server())
                    || isSameCrash(state, observation, nowNanos)) {
                return;
            }
        } else {
            faultyRequests.recordSuccess(observation.fingerprint());
        }
        if (state.pathAvoidedUntil.containsKey(observation.host())) {
            return;
        }
        if (nowNanos - state.lastOutcomeNanos > settings.maxOutcomeAge().toNanos()) {
            state.resetOutcomes();
        }
        state.lastOutcomeNanos = nowNanos;
        if (state.use == Use.PROBATION) {
            evaluateProbation(observation, state, nowNanos);
        } else if (state.use == Use.IN_USE) {
            evaluateInUse(observation, state, nowNanos);
        }
    }

    private static boolean isSameCrash(ServerState state, Observation observation, long nowNanos) {
        if (observation.outcome() != AttemptOutcome.CONNECTION_LOST) {
            return false;
        }
        boolean same = state.hasLostConnection && nowNanos - state.lastConnectionLostNanos < SAME_CRASH_NANOS;
        if (!same) {
            state.lastConnectionLostNanos = nowNanos;
            state.hasLostConnection = true;
        }
        return same;
    }

    private void evaluateInUse(Observation observation, ServerState state, long nowNanos) {
        PeerBaseline baseline = baselineOf(observation.trafficClass());
        baseline.refresh(() -> outcomesInUse(observation.trafficClass()), nowNanos);
        OutcomeWindow.Outcome outcome = new OutcomeWindow.Outcome(
                nowNanos, observation.host(), observation.isFailure(), observation.latencyMicros());
        state.outcomes.add(outcome);
        state.outcomes.removeBefore(nowNanos - settings.maxOutcomeAge().toNanos());
        state.failures.add(outcome.failed(), baseline.failureShare(), settings.failureThreshold());
        if (!outcome.failed() && baseline.hasLatencyBaseline() && isWarm(observation.server(), nowNanos)) {
            state.slowResponses.add(baseline.isSlow(outcome), baseline.slowShare(), settings.slowThreshold());
        }
        if (state.failures.value() >= settings.failureThreshold()) {
            avoidPathOrEject(observation, state, OutcomeWindow.Outcome::failed, "failures", nowNanos);
        } else if (state.slowResponses.value() >= settings.slowThreshold()) {
            evaluateSlowResponses(observation, state, baseline, nowNanos);
        }
    }

    private void evaluateSlowResponses(
            Observation observation, ServerState state, PeerBaseline baseline, long nowNanos) {
        // The sum was built with earlier medians, so the current values decide.
        baseline.recompute(outcomesInUse(observation.trafficClass()), nowNanos);
        double share = state.outcomes.count(baseline::isSlow).share();
        if (share < MIN_SLOW_SHARE || share < 2 * baseline.slowShare()) {
            state.slowResponses.reset();
            return;
        }
        avoidPathOrEject(observation, state, baseline::isSlow, "slow responses", nowNanos);
    }

    private void avoidPathOrEject(
            Observation observation,
            ServerState state,
            Predicate<OutcomeWindow.Outcome> isBad,
            String problem,
            long nowNanos) {
        HostId worst = state.outcomes.worstHost(isBad);
        OutcomeWindow.Count rest = state.outcomes.count(isBad, worst);
        OutcomeWindow.Count all = state.outcomes.count(isBad);
        boolean othersSucceed = rest.total() >= OutcomeWindow.MIN_OUTCOMES && rest.share() < all.share() / 4;
        boolean severalHosts = state.outcomes.hostCount() > 1;
        if (worst != null && othersSucceed) {
            state.pathAvoidedUntil.put(worst, nowNanos + PATH_AVOIDANCE_NANOS);
            state.outcomes.removeReportsOf(worst);
            state.failures.reset();
            state.slowResponses.reset();
            changes.add(new HealthChange(
                    observation.server(),
                    observation.trafficClass(),
                    HealthChange.Kind.PATH_AVOIDED,
                    "only " + worst + " reports " + problem));
        } else if (!severalHosts || rest.bad() > 0 || rest.total() < OutcomeWindow.MIN_OUTCOMES) {
            String reason = all.bad() + " " + problem + " in the last " + all.total() + " outcomes";
            eject(observation.server(), observation.trafficClass(), state, all.share(), reason, nowNanos);
        }
    }

    private void eject(
            String server,
            TrafficClass trafficClass,
            ServerState state,
            double badShare,
            String reason,
            long nowNanos) {
        if (!mayEject(server, badShare, nowNanos)) {
            if (!state.keptByFloorReported) {
                state.keptByFloorReported = true;
                changes.add(new HealthChange(server, trafficClass, HealthChange.Kind.KEPT_BY_FLOOR, reason));
            }
            return;
        }
        long inUse = nowNanos - state.useSinceNanos;
        long resetNanos = EJECTION_TIMES_UNTIL_RESET
                * settings.ejectionTime(state.repeatEjections).toNanos();
        state.repeatEjections = !state.wasEjected || inUse > resetNanos ? 0 : state.repeatEjections + 1;
        enterEjected(server, trafficClass, state, badShare, reason, nowNanos);
    }

    private void enterEjected(
            String server,
            TrafficClass trafficClass,
            ServerState state,
            double badShare,
            String reason,
            long nowNanos) {
        state.enter(Use.EJECTED, nowNanos);
        state.wasEjected = true;
        state.badShare = badShare;
        state.ejectedUntilNanos =
                nowNanos + settings.ejectionTime(state.repeatEjections).toNanos();
        changes.add(new HealthChange(server, trafficClass, HealthChange.Kind.EJECTED, reason));
    }

    private boolean mayEject(String server, double badShare, long nowNanos) {
        Set<String> ejected = ejectedServers();
        if (ejected.contains(server) || ejected.size() < maxEjected()) {
            return true;
        }
        boolean canReplace = ejected.size() == maxEjected()
                && ejected.stream().anyMatch(other -> badShare(other) + REPLACEMENT_MARGIN < badShare);
        if (canReplace) {
            readmitLeastBad(nowNanos, "a server with a higher share of bad outcomes was ejected instead");
        }
        return canReplace;
    }

    private void evaluateProbation(Observation observation, ServerState state, long nowNanos) {
        PeerBaseline baseline = baselineOf(observation.trafficClass());
        baseline.refresh(() -> outcomesInUse(observation.trafficClass()), nowNanos);
        OutcomeWindow.Outcome outcome = new OutcomeWindow.Outcome(
                nowNanos, observation.host(), observation.isFailure(), observation.latencyMicros());
        if (outcome.failed() || baseline.isSlow(outcome)) {
            state.probationFailures++;
        } else {
            state.probationSuccesses++;
        }
        if (state.probationFailures >= settings.probationFailures()) {
            state.repeatEjections++;
            enterEjected(
                    observation.server(),
                    observation.trafficClass(),
                    state,
                    state.badShare,
                    "failed or was slow during probation",
                    nowNanos);
        } else if (state.probationSuccesses >= settings.probationSuccesses()) {
            readmit(observation.server(), observation.trafficClass(), state, nowNanos, "passed probation");
        }
    }

    private void readmit(String server, TrafficClass trafficClass, ServerState state, long nowNanos, String reason) {
        state.enter(Use.IN_USE, nowNanos);
        changes.add(new HealthChange(server, trafficClass, HealthChange.Kind.READMITTED, reason));
    }

    @Override
    public void tick(long nowNanos) {
        states.forEach((trafficClass, byName) -> byName.forEach((server, state) -> {
            state.pathAvoidedUntil.values().removeIf(until -> nowNanos - until >= 0);
            if (state.use == Use.EJECTED && nowNanos - state.ejectedUntilNanos >= 0) {
                state.enter(Use.PROBATION, nowNanos);
                changes.add(new HealthChange(
                        server, trafficClass, HealthChange.Kind.PROBATION, "the ejection time is over"));
            }
        }));
    }

    @Override
    public int slotLimit(String server, TrafficClass trafficClass, long nowNanos) {
        Service currentService = service;
        if (currentService == null || !activeServers.containsKey(server)) {
            return 0;
        }
        ServerState state = statesOf(trafficClass).get(server);
        if (state != null && state.use != Use.IN_USE) {
            return state.use == Use.PROBATION ? 1 : 0;
        }
        double warmUp = settings.warmUp().toNanos();
        double warmUpFraction = Math.min(1, (nowNanos - warmUpStartNanos.getOrDefault(server, nowNanos)) / warmUp);
        return Math.max(1, (int) Math.floor(currentService.slotsPerServer() * warmUpFraction));
    }

    private boolean isWarm(String server, long nowNanos) {
        return nowNanos - warmUpStartNanos.getOrDefault(server, nowNanos)
                >= settings.warmUp().toNanos();
    }

    @Override
    public boolean avoidsPath(HostId host, String server, TrafficClass trafficClass, long nowNanos) {
        ServerState state = statesOf(trafficClass).get(server);
        Long until = state == null ? null : state.pathAvoidedUntil.get(host);
        return until != null && nowNanos - until < 0;
    }

    @Override
    public Set<String> ejectedServers() {
        Set<String> ejected = new TreeSet<>();
        states.values()
                .forEach(byName -> byName.forEach((server, state) -> {
                    if (state.isOutOfUse()) {
                        ejected.add(server);
                    }
                }));
        return ejected;
    }

    @Override
    public List<HealthChange> drainChanges() {
        List<HealthChange> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }

    private int maxEjected() {
        Service currentService = service;
        return currentService == null ? 0 : EjectionFloor.maxEjected(currentService);
    }

    private List<OutcomeWindow> outcomesInUse(TrafficClass trafficClass) {
        return statesOf(trafficClass).values().stream()
                .filter(state -> state.use == Use.IN_USE)
                .map(state -> state.outcomes)
                .toList();
    }

    private Map<String, ServerState> statesOf(TrafficClass trafficClass) {
        return states.computeIfAbsent(trafficClass, key -> new HashMap<>());
    }

    private ServerState stateOf(String server, TrafficClass trafficClass) {
        return statesOf(trafficClass).computeIfAbsent(server, name -> new ServerState());
    }

    private PeerBaseline baselineOf(TrafficClass trafficClass) {
        return baselines.computeIfAbsent(trafficClass, key -> new PeerBaseline());
    }
}
