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

/** One service under load in simulated time: a dispatcher, its requests with their attempts, and failing servers. */
final class ServiceSimulation {
    private static final long MILLI = 1_000_000L;
    private static final HostId HOST = new HostId("host-1", 1);
    private static final int FAILURE_MILLIS = 5;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final int TARGET_MILLIS = 3_000;
    /** A server that failed by itself counts as sound again after this time. */
    private static final int SOUND_AGAIN_MILLIS = 2_000;
    /** The floor of sound servers is judged over this time. */
    private static final int FLOOR_MILLIS = 2_000;

    /**
     * What a service looks like and how much it has to do.
     *
     * @param servers number of servers
     * @param slots slots of each
     * @param requestsPerSecond mean rate of first attempts
     * @param workMillis time that a request takes
     * @param mostServers servers that may get one request
     * @param retrySlack further attempts in 10 s besides the share of requests
     */
    record Load(int servers, int slots, double requestsPerSecond, int workMillis, int mostServers, double retrySlack) {}

    /** How a server treats a request that reaches it. */
    interface Behaviour {
        /** The outcome of a request that arrives at a server now. */
        AttemptOutcome arrive(int server, long nowMillis, Random random);
    }

    private final Load load;
    private final Behaviour behaviour;
    private final TrafficClass kind;
    private final Random random;
    private final PriorityDispatcher dispatcher;
    private final Map<Long, List<Runnable>> events = new HashMap<>();
    private final Map<Long, Request> waiting = new HashMap<>();
    private final long[] grantedAt;
    private final long[] failedAt;
    private long now;
    private final HostRetryBudget budget;
    private long nextToken = 1;

    int asked;
    int served;
    int failed;
    int refused;
    int furtherArrivals;
    int looks;
    int looksBelowFloor;

    private final class Request {
        final RetryState plan = new RetryState(load.mostServers(), kind.isIdempotent());
        final long startMillis = now;
        final long fingerprint = nextToken;
    }

    ServiceSimulation(Load load, TrafficClass kind, Behaviour behaviour, long seed) {
        this.load = load;
        this.kind = kind;
        this.behaviour = behaviour;
        this.random = new Random(seed);
        this.grantedAt = new long[load.servers()];
        this.failedAt = new long[load.servers()];
        Arrays.fill(grantedAt, Long.MIN_VALUE / 2);
        Arrays.fill(failedAt, Long.MIN_VALUE / 2);
        this.dispatcher = new PriorityDispatcher(
                new PriorityDispatcherSettings(new FloorSettings(0.7, Duration.ofSeconds(6)), Duration.ofMillis(300)),
                new Random(seed + 1));
        this.budget = new HostRetryBudget(new RetryBudgetSettings(0.2, load.retrySlack()), -20_000 * MILLI, 0);
        List<UpstreamServer> servers = new ArrayList<>();
        for (int number = 0; number < load.servers(); number++) {
            servers.add(new UpstreamServer(
                    "server-" + number, 1, "pay", "10.0.0.1:" + (1000 + number), "a", load.slots(), false, 0));
        }
        dispatcher.updateServers(servers, 0);
    }

    /** Lets time pass; the first second is not counted, since nothing is known of any server then. */
    ServiceSimulation run(Duration time) {
        for (now = 0; now < time.toMillis(); now++) {
            List<Runnable> due = events.remove(now);
            if (due != null) {
                due.forEach(Runnable::run);
            }
            if (now % 100 == 0) {
                take(dispatcher.tick(now * MILLI));
            }
            if (random.nextDouble() < load.requestsPerSecond() / 1_000) {
                asked++;
                ask(new Request());
            }
            if (now > 5_000) {
                looks++;
                looksBelowFloor += usedShareOfSound() < 0.7 ? 1 : 0;
            }
        }
        return this;
    }

    private void ask(Request request) {
        if (request.plan.nextAttemptNumber() <= 1) {
            budget.requestStarted(now * MILLI);
        } else if (!budget.tryRetry(1, now * MILLI)) {
            refused++;
            return;
        }
        long left = request.startMillis + DEADLINE_MILLIS - now;
        long token = nextToken++;
        SchedulingParameters terms = new SchedulingParameters(
                1,
                Math.max(1, request.startMillis + TARGET_MILLIS - now),
                request.plan.nextAttemptNumber(),
                "a",
                List.of(),
                request.plan.allowedServers());
        SlotRequest slot = new SlotRequest(
                "pay", "r", "t", kind, left, request.fingerprint, request.plan.excludedServers(), terms);
        waiting.put(token, request);
        take(dispatcher.request(slot, HOST, token, now * MILLI));
    }

    private void take(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            Request request = waiting.remove(decision.replyToken());
            if (request == null) {
                continue;
            }
            if (decision.answer().verdict() != SlotVerdict.GRANTED) {
                refused++;
            } else {
                arrive(request, decision.answer());
            }
        }
    }

    private void arrive(Request request, SlotAnswer answer) {
        int number = Integer.parseInt(answer.server().substring("server-".length()));
        grantedAt[number] = now;
        furtherArrivals += request.plan.nextAttemptNumber() > 1 ? 1 : 0;
        AttemptOutcome outcome = behaviour.arrive(number, now, random);
        boolean good = outcome == AttemptOutcome.SUCCESS;
        // Times vary by a factor of two or so.
        long millis = good ? (long) (load.workMillis() * (0.5 + random.nextDouble())) : FAILURE_MILLIS;
        events.computeIfAbsent(now + millis, key -> new ArrayList<>())
                .add(() -> ended(request, answer, number, outcome, millis));
    }

    private void ended(Request request, SlotAnswer answer, int number, AttemptOutcome outcome, long millis) {
        request.plan.attemptEnded(answer.server(), outcome, true);
        if (outcome == AttemptOutcome.SERVER_ERROR) {
            failedAt[number] = now;
        }
        take(dispatcher.release(new SlotRelease("pay", answer.grantId(), outcome, millis * 1_000), HOST, now * MILLI));
        if (outcome == AttemptOutcome.SUCCESS) {
            served++;
        } else if (request.plan.mayRetry()) {
            ask(request);
        } else {
            failed += outcome == AttemptOutcome.REJECTED ? 0 : 1;
            refused += outcome == AttemptOutcome.REJECTED ? 1 : 0;
        }
    }

    /** Share of the sound servers that got a request within the time over which the floor is judged. */
    private double usedShareOfSound() {
        int sound = 0;
        int used = 0;
        for (int number = 0; number < load.servers(); number++) {
            if (now - failedAt[number] > SOUND_AGAIN_MILLIS) {
                sound++;
                used += now - grantedAt[number] <= FLOOR_MILLIS ? 1 : 0;
            }
        }
        return sound == 0 ? 1 : (double) used / sound;
    }

    /** Servers that fail most requests in some of the equally long windows of time, each server by itself. */
    static final class Spells implements Behaviour {
        private final double failingShare;
        private final boolean[][] failing;
        private final int[] phase;
        private final int windowMillis;

        Spells(int servers, Duration time, Duration window, double shareOfWindows, double failingShare, long seed) {
            this.failingShare = failingShare;
            this.windowMillis = (int) window.toMillis();
            this.failing = new boolean[servers][(int) (time.toMillis() / windowMillis) + 2];
            this.phase = new int[servers];
            Random random = new Random(seed);
            for (int server = 0; server < servers; server++) {
                phase[server] = random.nextInt(windowMillis);
                for (int index = 0; index < failing[server].length; index++) {
                    failing[server][index] = random.nextDouble() < shareOfWindows;
                }
            }
        }

        @Override
        public AttemptOutcome arrive(int server, long nowMillis, Random random) {
            boolean ill = failing[server][(int) ((nowMillis + phase[server]) / windowMillis)];
            return ill && random.nextDouble() < failingShare ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS;
        }

        /**
         * Requests that must be lost: one shows that a server has begun to fail; while so many servers fail that the
         * others are fewer than the floor, one more every two seconds for each that is missing, since a server that
         * failed within that time does not count.
         */
        int fewestLost(double floorShare, Duration time) {
            int lost = beginnings();
            for (int now = 0; now < time.toMillis(); now += FLOOR_MILLIS) {
                int well = 0;
                for (int server = 0; server < failing.length; server++) {
                    well += failing[server][(now + phase[server]) / windowMillis] ? 0 : 1;
                }
                lost += (int) Math.max(0, Math.ceil(failing.length - well / floorShare));
            }
            return lost;
        }

        /** How often a server begins to fail, those that do so at the start included. */
        private int beginnings() {
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
