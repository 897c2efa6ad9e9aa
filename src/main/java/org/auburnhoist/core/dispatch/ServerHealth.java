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
import org.auburnhoist.core.dispatch.ServerTrack.State;
import org.auburnhoist.core.message.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Judges servers by their real work, per server and class.
 *
 * <p>A server is ejected for a class if its failures, or its slow answers, are much likelier from an ill server than
 * from one like its peers. Failures of one host only make that host avoid the server. Failures of a request that fails
 * on several servers count for nothing.
 */
public final class ServerHealth implements HealthJudge {
    /** Connections lost within this time on one server count as one failure: they ended together. */
    private static final long SAME_DEATH_NANOS = 100_000_000L;

    /** A host that was blamed alone avoids the server for this long. */
    private static final long AVOID_NANOS = 10_000_000_000L;

    /** A server that has stayed in use for this many back-off times starts again with the first back-off. */
    private static final int FORGIVING_BACK_OFFS = 6;

    /** Slow answers must make up this share of the recent ones, and twice that of the peers. */
    private static final double LEAST_SLOW_SHARE = 0.12;

    /** An ejected server goes back for a worse one only if its share of bad outcomes was lower by this much. */
    private static final double EXCHANGE_MARGIN = 0.1;

    private final Map<TrafficClass, Map<String, ServerTrack>> tracks = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, PeerBaseline> baselines = new EnumMap<>(TrafficClass.class);
    private final Map<String, Long> warmSinceNanos = new HashMap<>();
    private final FingerprintBlame blame = new FingerprintBlame();
    private final List<HealthChange> changes = new ArrayList<>();
    private DetectionSettings settings = DetectionSettings.CAUTIOUS;
    private @Nullable Service service;
    private Map<String, Server> present = Map.of();

    /** Creates a judge without evidence; {@link #configure} must be called first. */
    public ServerHealth() {
        for (TrafficClass trafficClass : TrafficClass.values()) {
            tracks.put(trafficClass, new HashMap<>());
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
            Server before = present.get(server.name());
            if (before == null || !before.address().equals(server.address())) {
                // Servers that are there when the judge starts are taken as warm.
                warmSinceNanos.put(
                        server.name(), first ? nowNanos - settings.warmUp().toNanos() : nowNanos);
                tracks.values().forEach(byName -> byName.remove(server.name()));
            }
        });
        present = servers;
        warmSinceNanos.keySet().retainAll(servers.keySet());
        tracks.values().forEach(byName -> byName.keySet().retainAll(servers.keySet()));
        readmitDownToFloor(nowNanos);
    }

    /** Puts the least bad servers back into use until the floor holds. */
    private void readmitDownToFloor(long nowNanos) {
        while (ejected().size() > mostEjected()) {
            readmitLeastBad(nowNanos, "the floor rose above the servers in use");
        }
    }

    private void readmitLeastBad(long nowNanos, String reason) {
        ejected().stream()
                .min(Comparator.comparingDouble(this::badness).thenComparing(Comparator.naturalOrder()))
                .ifPresent(server -> tracks.forEach((trafficClass, byName) -> {
                    ServerTrack track = byName.get(server);
                    if (track != null && track.isOutOfUse()) {
                        readmit(server, trafficClass, track, nowNanos, reason);
                    }
                }));
    }

    private double badness(String server) {
        return tracks.values().stream()
                .map(byName -> byName.get(server))
                .filter(track -> track != null && track.isOutOfUse())
                .mapToDouble(track -> track == null ? 0 : track.badness)
                .max()
                .orElse(0);
    }

    @Override
    public void observe(Observation observation, long nowNanos) {
        if (!observation.isEvidence() || !present.containsKey(observation.server())) {
            return;
        }
        ServerTrack track = track(observation.server(), observation.trafficClass());
        if (observation.isFailure()) {
            if (blame.failed(observation.fingerprint(), observation.server())
                    || isSameDeath(track, observation, nowNanos)) {
                return;
            }
        } else {
            blame.succeeded(observation.fingerprint());
        }
        if (track.avoidedUntil.containsKey(observation.host())) {
            return;
        }
        if (nowNanos - track.lastOutcomeNanos > settings.evidenceAge().toNanos()) {
            track.resetEvidence();
        }
        track.lastOutcomeNanos = nowNanos;
        if (track.state == State.PROBATION) {
            judgeProbation(observation, track, nowNanos);
        } else if (track.state == State.IN_USE) {
            judgeInUse(observation, track, nowNanos);
        }
    }

    private static boolean isSameDeath(ServerTrack track, Observation observation, long nowNanos) {
        if (observation.outcome() != AttemptOutcome.CONNECTION_LOST) {
            return false;
        }
        boolean same = track.connectionWasLost && nowNanos - track.lastConnectionLostNanos < SAME_DEATH_NANOS;
        if (!same) {
            track.lastConnectionLostNanos = nowNanos;
            track.connectionWasLost = true;
        }
        return same;
    }

    private void judgeInUse(Observation observation, ServerTrack track, long nowNanos) {
        PeerBaseline baseline = baseline(observation.trafficClass());
        baseline.refresh(() -> evidenceInUse(observation.trafficClass()), nowNanos);
        Evidence.Outcome outcome = new Evidence.Outcome(
                nowNanos, observation.host(), observation.isFailure(), observation.latencyMicros());
        track.evidence.add(outcome);
        track.evidence.dropBefore(nowNanos - settings.evidenceAge().toNanos());
        track.failures.add(outcome.failed(), baseline.failureShare(), settings.failureThreshold());
        if (!outcome.failed() && baseline.canJudgeLatency() && isWarm(observation.server(), nowNanos)) {
            track.slowAnswers.add(baseline.isSlow(outcome), baseline.slowShare(), settings.slowThreshold());
        }
        if (track.failures.value() >= settings.failureThreshold()) {
            blameHostOrServer(observation, track, Evidence.Outcome::failed, "failures", nowNanos);
        } else if (track.slowAnswers.value() >= settings.slowThreshold()) {
            judgeSlow(observation, track, baseline, nowNanos);
        }
    }

    private void judgeSlow(Observation observation, ServerTrack track, PeerBaseline baseline, long nowNanos) {
        // The present values decide, because the sum was built with earlier medians.
        baseline.recompute(evidenceInUse(observation.trafficClass()), nowNanos);
        double share = track.evidence.count(baseline::isSlow).share();
        if (share < LEAST_SLOW_SHARE || share < 2 * baseline.slowShare()) {
            track.slowAnswers.reset();
            return;
        }
        blameHostOrServer(observation, track, baseline::isSlow, "slow answers", nowNanos);
    }

    private void blameHostOrServer(
            Observation observation, ServerTrack track, Predicate<Evidence.Outcome> bad, String what, long nowNanos) {
        HostId worst = track.evidence.worstHost(bad);
        Evidence.Count rest = track.evidence.count(bad, worst);
        Evidence.Count all = track.evidence.count(bad);
        boolean othersSucceed = rest.all() >= Evidence.FEWEST_OUTCOMES && rest.share() < all.share() / 4;
        boolean severalHosts = track.evidence.hostCount() > 1;
        if (worst != null && othersSucceed) {
            track.avoidedUntil.put(worst, nowNanos + AVOID_NANOS);
            track.evidence.dropFrom(worst);
            track.failures.reset();
            track.slowAnswers.reset();
            changes.add(new HealthChange(
                    observation.server(),
                    observation.trafficClass(),
                    HealthChange.Kind.PATH_AVOIDED,
                    "only " + worst + " reports " + what));
        } else if (!severalHosts || rest.bad() > 0 || rest.all() < Evidence.FEWEST_OUTCOMES) {
            String reason = all.bad() + " " + what + " in the last " + all.all() + " outcomes";
            eject(observation.server(), observation.trafficClass(), track, all.share(), reason, nowNanos);
        }
    }

    private void eject(
            String server, TrafficClass trafficClass, ServerTrack track, double badness, String reason, long nowNanos) {
        if (!mayEject(server, badness, nowNanos)) {
            if (!track.keptByFloorReported) {
                track.keptByFloorReported = true;
                changes.add(new HealthChange(server, trafficClass, HealthChange.Kind.KEPT_BY_FLOOR, reason));
            }
            return;
        }
        long inUse = nowNanos - track.stateNanos;
        long forgivingTime =
                FORGIVING_BACK_OFFS * settings.backOff(track.relapses).toNanos();
        track.relapses = !track.ejectedBefore || inUse > forgivingTime ? 0 : track.relapses + 1;
        putOut(server, trafficClass, track, badness, reason, nowNanos);
    }

    private void putOut(
            String server, TrafficClass trafficClass, ServerTrack track, double badness, String reason, long nowNanos) {
        track.enter(State.EJECTED, nowNanos);
        track.ejectedBefore = true;
        track.badness = badness;
        track.ejectedUntilNanos = nowNanos + settings.backOff(track.relapses).toNanos();
        changes.add(new HealthChange(server, trafficClass, HealthChange.Kind.EJECTED, reason));
    }

    private boolean mayEject(String server, double badness, long nowNanos) {
        Set<String> out = ejected();
        if (out.contains(server) || out.size() < mostEjected()) {
            return true;
        }
        boolean exchange = out.size() == mostEjected()
                && out.stream().anyMatch(other -> badness(other) + EXCHANGE_MARGIN < badness);
        if (exchange) {
            readmitLeastBad(nowNanos, "a worse server was ejected instead");
        }
        return exchange;
    }

    private void judgeProbation(Observation observation, ServerTrack track, long nowNanos) {
        PeerBaseline baseline = baseline(observation.trafficClass());
        baseline.refresh(() -> evidenceInUse(observation.trafficClass()), nowNanos);
        Evidence.Outcome outcome = new Evidence.Outcome(
                nowNanos, observation.host(), observation.isFailure(), observation.latencyMicros());
        if (outcome.failed() || baseline.isSlow(outcome)) {
            track.probationFailures++;
        } else {
            track.probationSuccesses++;
        }
        if (track.probationFailures >= settings.probationFailures()) {
            track.relapses++;
            putOut(
                    observation.server(),
                    observation.trafficClass(),
                    track,
                    track.badness,
                    "failed or was slow again in probation",
                    nowNanos);
        } else if (track.probationSuccesses >= settings.probationSuccesses()) {
            readmit(observation.server(), observation.trafficClass(), track, nowNanos, "passed its probation");
        }
    }

    private void readmit(String server, TrafficClass trafficClass, ServerTrack track, long nowNanos, String reason) {
        track.enter(State.IN_USE, nowNanos);
        changes.add(new HealthChange(server, trafficClass, HealthChange.Kind.READMITTED, reason));
    }

    @Override
    public void tick(long nowNanos) {
        tracks.forEach((trafficClass, byName) -> byName.forEach((server, track) -> {
            track.avoidedUntil.values().removeIf(until -> nowNanos - until >= 0);
            if (track.state == State.EJECTED && nowNanos - track.ejectedUntilNanos >= 0) {
                track.enter(State.PROBATION, nowNanos);
                changes.add(new HealthChange(
                        server, trafficClass, HealthChange.Kind.PROBATION, "its back-off time has passed"));
            }
        }));
    }

    @Override
    public int slotLimit(String server, TrafficClass trafficClass, long nowNanos) {
        Service known = service;
        if (known == null || !present.containsKey(server)) {
            return 0;
        }
        ServerTrack track = tracksOf(trafficClass).get(server);
        if (track != null && track.state != State.IN_USE) {
            return track.state == State.PROBATION ? 1 : 0;
        }
        double warmUp = settings.warmUp().toNanos();
        double warmth = Math.min(1, (nowNanos - warmSinceNanos.getOrDefault(server, nowNanos)) / warmUp);
        return Math.max(1, (int) Math.floor(known.slotsPerServer() * warmth));
    }

    private boolean isWarm(String server, long nowNanos) {
        return nowNanos - warmSinceNanos.getOrDefault(server, nowNanos)
                >= settings.warmUp().toNanos();
    }

    @Override
    public boolean avoids(HostId host, String server, TrafficClass trafficClass, long nowNanos) {
        ServerTrack track = tracksOf(trafficClass).get(server);
        Long until = track == null ? null : track.avoidedUntil.get(host);
        return until != null && nowNanos - until < 0;
    }

    @Override
    public Set<String> ejected() {
        Set<String> out = new TreeSet<>();
        tracks.values()
                .forEach(byName -> byName.forEach((server, track) -> {
                    if (track.isOutOfUse()) {
                        out.add(server);
                    }
                }));
        return out;
    }

    @Override
    public List<HealthChange> drainChanges() {
        List<HealthChange> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }

    private int mostEjected() {
        Service known = service;
        return known == null ? 0 : EjectionFloor.mostEjected(known);
    }

    private List<Evidence> evidenceInUse(TrafficClass trafficClass) {
        return tracksOf(trafficClass).values().stream()
                .filter(track -> track.state == State.IN_USE)
                .map(track -> track.evidence)
                .toList();
    }

    private Map<String, ServerTrack> tracksOf(TrafficClass trafficClass) {
        return tracks.computeIfAbsent(trafficClass, key -> new HashMap<>());
    }

    private ServerTrack track(String server, TrafficClass trafficClass) {
        return tracksOf(trafficClass).computeIfAbsent(server, name -> new ServerTrack());
    }

    private PeerBaseline baseline(TrafficClass trafficClass) {
        return baselines.computeIfAbsent(trafficClass, key -> new PeerBaseline());
    }
}
