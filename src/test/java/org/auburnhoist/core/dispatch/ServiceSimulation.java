package org.auburnhoist.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SchedulingParameters;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.routing.UpstreamServer;

/** Simulates one service under load: a dispatcher, requests with their attempts, and failing servers. */
final class ServiceSimulation {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final HostId HOST = new HostId("host-1", 1);
    private static final int FAILURE_MILLIS = 5;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final int TARGET_MILLIS = 3_000;
    /** Time after a failure for which a server does not count for the floor. */
    private static final int FAILURE_EXCLUSION_MILLIS = 2_000;
    /** Time over which the floor is evaluated. */
    private static final int FLOOR_WINDOW_MILLIS = 2_000;

    /**
     * The size of a service and its load.
     *
     * @param servers number of servers
     * @param slots slots of each server
     * @param requestsPerSecond mean rate of first attempts
     * @param workMillis mean processing time of a request
     * @param maxServers maximum number of servers that may receive one request
     * @param retrySlack number of retries allowed in 10 s in addition to the share of requests
     */
    record Load(int servers, int slots, double requestsPerSecond, int workMillis, int maxServers, double retrySlack) {}

    /** How servers respond to requests. */
    interface ServerBehavior {
        /** Returns the outcome of a request that arrives at a server. */
        AttemptOutcome handle(int server, long nowMillis, Random random);
    }

    private final Load load;
    private final ServerBehavior behavior;
    private final TrafficClass trafficClass;
    private final Random random;
    private final PriorityDispatcher dispatcher;
    private final Map<Long, List<Runnable>> events = new HashMap<>();
    private final Map<Long, Request> waiting = new HashMap<>();
    private final long[] grantedMillis;
    private final long[] failedMillis;
    private long nowMillis;
    private final HostRetryBudget retryBudget;
    private long nextToken = 1;

    int requested;
    int served;
    int failed;
    int refused;
    int retries;
    int floorChecks;
    int floorViolations;

    private final class Request {
        final RetryState retryState = new RetryState(load.maxServers(), trafficClass.isIdempotent());
        final long startMillis = nowMillis;
        final long fingerprint = nextToken;
    }

    ServiceSimulation(Load load, TrafficClass trafficClass, ServerBehavior behavior, long seed) {
        this.load = load;
        this.trafficClass = trafficClass;
        this.behavior = behavior;
        this.random = new Random(seed);
        this.grantedMillis = new long[load.servers()];
        this.failedMillis = new long[load.servers()];
        Arrays.fill(grantedMillis, Long.MIN_VALUE / 2);
        Arrays.fill(failedMillis, Long.MIN_VALUE / 2);
        this.dispatcher = new PriorityDispatcher(
                new PriorityDispatcherSettings(new FloorSettings(0.7, Duration.ofSeconds(6)), Duration.ofMillis(300)),
                new Random(seed + 1));
        this.retryBudget =
                new HostRetryBudget(new RetryBudgetSettings(0.2, load.retrySlack()), -20_000 * NANOS_PER_MILLI, 0);
        List<UpstreamServer> servers = new ArrayList<>();
        for (int number = 0; number < load.servers(); number++) {
            servers.add(new UpstreamServer(
                    "server-" + number, 1, "pay", "10.0.0.1:" + (1000 + number), "a", load.slots(), false, 0));
        }
        dispatcher.updateServers(servers, 0);
    }

    /** Runs the simulation; the floor is not checked in the first 5 s, since nothing is known of the servers then. */
    ServiceSimulation run(Duration time) {
        for (nowMillis = 0; nowMillis < time.toMillis(); nowMillis++) {
            List<Runnable> due = events.remove(nowMillis);
            if (due != null) {
                due.forEach(Runnable::run);
            }
            if (nowMillis % 100 == 0) {
                handleDecisions(dispatcher.tick(nowMillis * NANOS_PER_MILLI));
            }
            if (random.nextDouble() < load.requestsPerSecond() / 1_000) {
                requested++;
                requestSlot(new Request());
            }
            if (nowMillis > 5_000) {
                floorChecks++;
                floorViolations += usedShareOfCountedServers() < 0.7 ? 1 : 0;
            }
        }
        return this;
    }

    private void requestSlot(Request request) {
        if (request.retryState.nextAttemptNumber() <= 1) {
            retryBudget.requestStarted(nowMillis * NANOS_PER_MILLI);
        } else if (!retryBudget.tryRetry(1, nowMillis * NANOS_PER_MILLI)) {
            refused++;
            return;
        }
        long remainingMillis = request.startMillis + DEADLINE_MILLIS - nowMillis;
        long token = nextToken++;
        SchedulingParameters terms = new SchedulingParameters(
                1,
                Math.max(1, request.startMillis + TARGET_MILLIS - nowMillis),
                request.retryState.nextAttemptNumber(),
                "a",
                List.of(),
                request.retryState.allowedServers());
        SlotRequest slot = new SlotRequest(
                "pay",
                "r",
                "t",
                trafficClass,
                remainingMillis,
                request.fingerprint,
                request.retryState.excludedServers(),
                terms);
        waiting.put(token, request);
        handleDecisions(dispatcher.request(slot, HOST, token, nowMillis * NANOS_PER_MILLI));
    }

    private void handleDecisions(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            Request request = waiting.remove(decision.replyToken());
            if (request == null) {
                continue;
            }
            if (decision.answer().verdict() != SlotVerdict.GRANTED) {
                refused++;
            } else {
                startAttempt(request, decision.answer());
            }
        }
    }

    private void startAttempt(Request request, SlotAnswer answer) {
        int number = Integer.parseInt(answer.server().substring("server-".length()));
        grantedMillis[number] = nowMillis;
        retries += request.retryState.nextAttemptNumber() > 1 ? 1 : 0;
        AttemptOutcome outcome = behavior.handle(number, nowMillis, random);
        boolean succeeded = outcome == AttemptOutcome.SUCCESS;
        // Processing times vary by up to 50% around the mean.
        long millis = succeeded ? (long) (load.workMillis() * (0.5 + random.nextDouble())) : FAILURE_MILLIS;
        events.computeIfAbsent(nowMillis + millis, key -> new ArrayList<>())
                .add(() -> endAttempt(request, answer, number, outcome, millis));
    }

    private void endAttempt(Request request, SlotAnswer answer, int number, AttemptOutcome outcome, long millis) {
        request.retryState.attemptEnded(answer.server(), outcome, true);
        if (outcome == AttemptOutcome.SERVER_ERROR) {
            failedMillis[number] = nowMillis;
        }
        handleDecisions(dispatcher.release(
                new SlotRelease("pay", answer.grantId(), outcome, millis * 1_000), HOST, nowMillis * NANOS_PER_MILLI));
        if (outcome == AttemptOutcome.SUCCESS) {
            served++;
        } else if (request.retryState.mayRetry()) {
            requestSlot(request);
        } else {
            failed += outcome == AttemptOutcome.REJECTED ? 0 : 1;
            refused += outcome == AttemptOutcome.REJECTED ? 1 : 0;
        }
    }

    /** Share of the servers that count for the floor and received a request within the floor window. */
    private double usedShareOfCountedServers() {
        int counted = 0;
        int used = 0;
        for (int number = 0; number < load.servers(); number++) {
            if (nowMillis - failedMillis[number] > FAILURE_EXCLUSION_MILLIS) {
                counted++;
                used += nowMillis - grantedMillis[number] <= FLOOR_WINDOW_MILLIS ? 1 : 0;
            }
        }
        return counted == 0 ? 1 : (double) used / counted;
    }

    /** Servers that independently fail most requests in some of their windows of equal length. */
    static final class FailureEpisodes implements ServerBehavior {
        private final double failingShare;
        private final boolean[][] failing;
        private final int[] phaseMillis;
        private final int windowMillis;

        FailureEpisodes(
                int servers, Duration time, Duration window, double shareOfWindows, double failingShare, long seed) {
            this.failingShare = failingShare;
            this.windowMillis = (int) window.toMillis();
            this.failing = new boolean[servers][(int) (time.toMillis() / windowMillis) + 2];
            this.phaseMillis = new int[servers];
            Random random = new Random(seed);
            for (int server = 0; server < servers; server++) {
                phaseMillis[server] = random.nextInt(windowMillis);
                for (int index = 0; index < failing[server].length; index++) {
                    failing[server][index] = random.nextDouble() < shareOfWindows;
                }
            }
        }

        @Override
        public AttemptOutcome handle(int server, long nowMillis, Random random) {
            boolean inEpisode = failing[server][(int) ((nowMillis + phaseMillis[server]) / windowMillis)];
            return inEpisode && random.nextDouble() < failingShare
                    ? AttemptOutcome.SERVER_ERROR
                    : AttemptOutcome.SUCCESS;
        }

        /**
         * Minimum number of lost requests. One request is lost to detect that a server has begun to fail. While so many
         * servers fail that the others are fewer than the floor, one more is lost every two seconds for each missing
         * server, since a server that failed within that time does not count for the floor.
         */
        int minLostRequests(double floorShare, Duration time) {
            int lost = episodeCount();
            for (int now = 0; now < time.toMillis(); now += FLOOR_WINDOW_MILLIS) {
                int healthy = 0;
                for (int server = 0; server < failing.length; server++) {
                    healthy += failing[server][(now + phaseMillis[server]) / windowMillis] ? 0 : 1;
                }
                lost += (int) Math.max(0, Math.ceil(failing.length - healthy / floorShare));
            }
            return lost;
        }

        /** Number of failure episodes, including those that begin at the start. */
        private int episodeCount() {
            int count = 0;
            for (boolean[] windows : failing) {
                for (int index = 0; index < windows.length - 1; index++) {
                    count += windows[index] && (index == 0 || !windows[index - 1]) ? 1 : 0;
                }
            }
            return count;
        }
    }
}
