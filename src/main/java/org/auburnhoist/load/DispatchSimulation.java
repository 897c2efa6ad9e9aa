package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.dispatch.DispatchSettings;
import org.auburnhoist.core.dispatch.HealthChange;
import org.auburnhoist.core.dispatch.ServiceDispatcher;
import org.auburnhoist.core.dispatch.SlotDecision;
import org.auburnhoist.core.dispatch.SlotDispatcher;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;

/** Discrete-event simulation of one dispatcher in front of simulated servers; deterministic for a given seed. */
public final class DispatchSimulation {
    /** Shape parameter of the log-normal distribution of service times. */
    private static final double SIGMA = 0.6;

    private static final long TICK_NANOS = 50_000_000L;
    private static final long POISON_FINGERPRINT = -1;
    private static final long POPULAR_FINGERPRINT = -2;
    private static final String POISON_TEAM = "poison-sender";

    private final DispatchScenario scenario;
    private final SplittableRandom random;
    private final SlotDispatcher dispatcher;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Long, Running> running = new TreeMap<>();
    private final Map<String, Double> downUntilSeconds = new HashMap<>();
    private final Map<String, int[]> counts = new TreeMap<>();
    private final List<DispatchResult.Ejection> ejections = new ArrayList<>();
    private final Set<Long> crashed = new HashSet<>();
    private long nowNanos;
    private long nextOrder;
    private long nextToken;
    private int crashes;
    private int copiesAtFirstCrash;
    private int poisonRefusals;
    private int falseQuarantines;

    private record Event(long atNanos, long order, Runnable action) {}

    private record Pending(String team, long fingerprint, HostId host) {}

    private record Running(Pending request, SlotAnswer grant, long startNanos) {}

    /** Creates the dispatcher and the random numbers of the scenario. */
    public DispatchSimulation(DispatchScenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        dispatcher = scenario.baseline()
                ? ServiceDispatcher.createBaseline(DispatchSettings.DEFAULT, random.split())
                : ServiceDispatcher.create(DispatchSettings.DEFAULT, random.split());
    }

    /** Runs the scenario to its end. */
    public DispatchResult run() {
        return runUntilEjected("", Double.MAX_VALUE);
    }

    /** Runs the scenario until the server is ejected at or after the given time, or to its end. */
    public DispatchResult runUntilEjected(String server, double afterSeconds) {
        dispatcher.configure(scenario.service(), Map.of(), 0);
        at(TICK_NANOS, this::tick);
        for (int team = 0; team < scenario.teamRates().size(); team++) {
            scheduleArrival("team-" + team, scenario.teamRates().get(team));
        }
        if (scenario.poison().ratePerSecond() > 0) {
            schedulePoison();
        }
        long endNanos = (long) (scenario.seconds() * 1e9);
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.remove();
            nowNanos = event.atNanos();
            event.action().run();
            if (isEjected(server, afterSeconds)) {
                break;
            }
        }
        return result();
    }

    private boolean isEjected(String server, double afterSeconds) {
        if (ejections.isEmpty()) {
            return false;
        }
        DispatchResult.Ejection last = ejections.get(ejections.size() - 1);
        return last.server().equals(server) && last.seconds() >= afterSeconds;
    }

    private DispatchResult result() {
        // Requests that are still in progress have no outcome yet and do not count as offered.
        pending.values().forEach(request -> count(request.team())[0]--);
        running.values().forEach(attempt -> count(attempt.request().team())[0]--);
        Map<String, DispatchResult.TeamCount> teams = new TreeMap<>();
        counts.forEach((team, count) -> teams.put(team, new DispatchResult.TeamCount(count[0], count[1], count[2])));
        return new DispatchResult(teams, ejections, crashes, copiesAtFirstCrash, poisonRefusals, falseQuarantines);
    }

    private void at(long atNanos, Runnable action) {
        events.add(new Event(atNanos, nextOrder++, action));
    }

    private void tick() {
        handle(dispatcher.tick(nowNanos));
        at(nowNanos + TICK_NANOS, this::tick);
    }

    private void scheduleArrival(String team, double rate) {
        if (rate <= 0) {
            return;
        }
        long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        at(nowNanos + gap, () -> {
            send(team, normalFingerprint());
            scheduleArrival(team, rate);
        });
    }

    /** Beside a poison request, a popular one is often in progress, so that it is a suspect in many crashes. */
    private long normalFingerprint() {
        boolean popular = scenario.poison().ratePerSecond() > 0 && random.nextDouble() < 0.3;
        return popular ? POPULAR_FINGERPRINT : random.nextLong() & Long.MAX_VALUE;
    }

    private void schedulePoison() {
        long gap = (long) (1e9 / scenario.poison().ratePerSecond());
        at(nowNanos + gap, () -> {
            for (int copy = 0; copy < scenario.poison().copies(); copy++) {
                send(POISON_TEAM, POISON_FINGERPRINT);
            }
            schedulePoison();
        });
    }

    private void send(String team, long fingerprint) {
        HostId host = new HostId("host-" + random.nextInt(scenario.hosts()), 1);
        long token = nextToken++;
        pending.put(token, new Pending(team, fingerprint, host));
        count(team)[0]++;
        SlotRequest request = new SlotRequest(
                scenario.service().name(),
                "route",
                team,
                scenario.trafficClass(),
                scenario.deadlineMillis(),
                fingerprint,
                List.of());
        handle(dispatcher.request(request, host, token, nowNanos));
    }

    private int[] count(String team) {
        return counts.computeIfAbsent(team, name -> new int[3]);
    }

    private void handle(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            Pending request = pending.remove(decision.replyToken());
            if (request == null) {
                throw new IllegalStateException("replyToken: " + decision.replyToken() + ", expected a waiting one");
            }
            if (decision.answer().verdict() == SlotVerdict.GRANTED) {
                start(request, decision.answer());
            } else {
                countRefusal(request, decision.answer().verdict());
            }
        }
        for (HealthChange change : dispatcher.drainHealthChanges()) {
            if (change.kind() == HealthChange.Kind.EJECTED) {
                ejections.add(new DispatchResult.Ejection(change.server(), nowNanos / 1e9));
            }
        }
    }

    private void countRefusal(Pending request, SlotVerdict verdict) {
        count(request.team())[2]++;
        if (verdict == SlotVerdict.QUARANTINED) {
            if (request.fingerprint() == POISON_FINGERPRINT) {
                poisonRefusals++;
            } else {
                falseQuarantines++;
            }
        }
    }

    private void start(Pending request, SlotAnswer grant) {
        running.put(grant.grantId(), new Running(request, grant, nowNanos));
        double seconds = nowNanos / 1e9;
        if (downUntilSeconds.getOrDefault(grant.server(), 0.0) > seconds) {
            at(nowNanos + 1_000_000, () -> end(grant.grantId(), AttemptOutcome.CONNECT_FAILED));
            return;
        }
        double millis = scenario.meanServiceMillis() * Math.exp(SIGMA * gaussian() - SIGMA * SIGMA / 2);
        double failureShare = scenario.backgroundFailureShare();
        for (ServerFault fault : scenario.faults()) {
            if (fault.isActive(grant.server(), seconds)) {
                failureShare = Math.max(failureShare, fault.failureShare());
                millis *= random.nextDouble() < fault.slowShare() ? fault.slowFactor() : 1;
            }
        }
        boolean failed = random.nextDouble() < failureShare;
        long endNanos = nowNanos + (long) (millis * 1e6);
        if (request.fingerprint() == POISON_FINGERPRINT) {
            at(endNanos, () -> crash(grant));
        } else {
            at(endNanos, () -> end(grant.grantId(), failed ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS));
        }
    }

    /** Crashes the server of the poison request: all its attempts end with a lost connection. */
    private void crash(SlotAnswer grant) {
        if (!running.containsKey(grant.grantId())) {
            return;
        }
        if (crashes == 0) {
            copiesAtFirstCrash = (int) running.values().stream()
                    .filter(attempt -> attempt.request().fingerprint() == POISON_FINGERPRINT)
                    .count();
        }
        crashes++;
        downUntilSeconds.put(grant.server(), nowNanos / 1e9 + scenario.poison().restartSeconds());
        List<Long> lost = running.values().stream()
                .filter(attempt -> attempt.grant().server().equals(grant.server()))
                .map(attempt -> attempt.grant().grantId())
                .filter(crashed::add)
                .toList();
        for (long grantId : lost) {
            // The hosts notice the loss at slightly different times.
            at(nowNanos + random.nextInt(5_000_000), () -> end(grantId, AttemptOutcome.CONNECTION_LOST));
        }
    }

    private void end(long grantId, AttemptOutcome outcome) {
        if (outcome != AttemptOutcome.CONNECTION_LOST && crashed.contains(grantId)) {
            return;
        }
        Running attempt = running.remove(grantId);
        if (attempt == null) {
            return;
        }
        if (outcome == AttemptOutcome.SUCCESS) {
            count(attempt.request().team())[1]++;
        }
        long latencyMicros = (nowNanos - attempt.startNanos()) / 1000;
        SlotRelease release = new SlotRelease(scenario.service().name(), grantId, outcome, latencyMicros);
        handle(dispatcher.release(release, attempt.request().host(), nowNanos));
    }

    private double gaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
