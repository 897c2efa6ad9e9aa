package org.auburnhoist.load;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * Open-loop load generator: sends requests at their scheduled times whether or not earlier ones were answered. Latency
 * is measured from the scheduled time, so that a stall of the fleet or of this generator shows in every request that it
 * delays.
 *
 * <pre>{@code
 * try (LoadGenerator generator = new LoadGenerator(teams, log, AnswerCheck::check, () -> addresses)) {
 *     generator.run(new Arrivals(shares, List.of(), duration).draw(teams, 7));
 * }
 * }</pre>
 */
public final class LoadGenerator implements AutoCloseable {
    /** Maximum number of requests in progress; further ones are counted as not sent. */
    public static final int MAX_IN_PROGRESS = 5_000;

    private static final int CALLERS_PER_TEAM = 4;
    private static final int CLIENT_THREADS = 4;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum wait for answers after the last scheduled request. */
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(35);

    private final LoadLog log;
    private final Map<String, List<FleetCaller>> callers = new HashMap<>();
    private final ExecutorService clientThreads;
    private final ScheduledExecutorService timer;
    private final Semaphore permits = new Semaphore(MAX_IN_PROGRESS);
    private volatile boolean stopped;

    /**
     * Creates the callers; nothing is sent yet.
     *
     * @param teams the teams
     * @param log receives the attempts and results
     * @param checker checks answers with a success status
     * @param seeds addresses of the hosts from which callers request the address list
     */
    public LoadGenerator(List<TeamLoad> teams, LoadLog log, AnswerChecker checker, Supplier<List<String>> seeds) {
        this.log = log;
        this.clientThreads = Executors.newFixedThreadPool(CLIENT_THREADS, daemonThreads("load-client"));
        this.timer = Executors.newSingleThreadScheduledExecutor(daemonThreads("load-timer"));
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(clientThreads)
                .build();
        int firstSeed = 0;
        for (TeamLoad team : teams) {
            List<FleetCaller> teamCallers = new ArrayList<>();
            for (int index = 0; index < CALLERS_PER_TEAM; index++) {
                teamCallers.add(new FleetCaller(client, timer, team, log, checker, seeds, firstSeed++));
            }
            callers.put(team.team(), teamCallers);
        }
    }

    /**
     * Sends all requests and waits for their answers, at most for a fixed time after the last one.
     *
     * @param requests in the order of their scheduled times
     */
    public void run(List<LoadRequest> requests) throws InterruptedException {
        long startNanos = System.nanoTime();
        for (LoadRequest request : requests) {
            if (!awaitTime(startNanos + request.offsetNanos())) {
                return;
            }
            log.offered(request);
            if (permits.tryAcquire()) {
                send(request, startNanos + request.offsetNanos());
            } else {
                log.notSent();
            }
        }
        if (permits.tryAcquire(MAX_IN_PROGRESS, DRAIN_LIMIT.toMillis(), TimeUnit.MILLISECONDS)) {
            permits.release(MAX_IN_PROGRESS);
        }
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return MAX_IN_PROGRESS - permits.availablePermits();
    }

    @Override
    public void close() {
        stopped = true;
        timer.shutdownNow();
        clientThreads.shutdownNow();
    }

    private void send(LoadRequest request, long scheduledNanos) {
        List<FleetCaller> teamCallers = callers.getOrDefault(request.team().team(), List.of());
        FleetCaller caller = teamCallers.get((int) (request.number() % teamCallers.size()));
        caller.send(request).whenComplete((result, failure) -> {
            RequestResult completed = result == null || failure != null
                    ? RequestResult.of(RequestResult.Ending.NO_ANSWER, false)
                    : result;
            log.ended(request, completed, System.nanoTime() - scheduledNanos);
            // Released last, because the run may end as soon as all permits are available.
            permits.release();
        });
    }

    private boolean awaitTime(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0 && !stopped && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
        return remainingNanos <= 0 && !stopped;
    }

    private static ThreadFactory daemonThreads(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
