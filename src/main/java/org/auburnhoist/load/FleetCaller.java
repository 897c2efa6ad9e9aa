package org.auburnhoist.load;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.load.RequestResult.Ending;
import org.jspecify.annotations.Nullable;

/**
 * A caller that follows the documented client protocol: it caches the addresses, fetches operation ids in advance,
 * tries the next address when a host is isolated, stopping or does not answer, retries a booking with the same id, and
 * honours {@code Retry-After} at most once for each request.
 */
final class FleetCaller {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_ATTEMPTS = 4;
    private static final long MAX_RETRY_AFTER_SECONDS = 5;
    private static final Set<String> NEXT_ADDRESS_REFUSALS =
            Set.of(Refusal.HOST_ISOLATED.code(), Refusal.HOST_STOPPING.code());

    private final HttpClient client;
    private final ScheduledExecutorService timer;
    private final TeamLoad team;
    private final LoadLog log;
    private final AnswerChecker checker;
    private final AddressCache addresses;
    private final OperationIds ids;

    FleetCaller(
            HttpClient client,
            ScheduledExecutorService timer,
            TeamLoad team,
            LoadLog log,
            AnswerChecker checker,
            Supplier<List<String>> seeds,
            int firstSeed) {
        this.client = client;
        this.timer = timer;
        this.team = team;
        this.log = log;
        this.checker = checker;
        this.addresses = new AddressCache(client, team.authorization(), seeds, firstSeed);
        this.ids = new OperationIds(client, team.authorization(), addresses);
    }

    /** Sends a request with its retries; refusals and connection failures also complete it normally. */
    CompletableFuture<RequestResult> send(LoadRequest request) {
        RequestRun run = new RequestRun(request);
        if (request.trafficClass() != TrafficClass.BOOKING) {
            run.attempt();
            return run.result;
        }
        ids.next(System.nanoTime()).whenComplete((id, failure) -> {
            if (failure != null && refusal(failure).isEmpty()) {
                run.finish(RequestResult.of(Ending.NO_ANSWER, false));
            } else if (failure != null) {
                run.finish(new RequestResult(Ending.REFUSED, refusal(failure), false));
            } else {
                run.operationId = id;
                run.attempt();
            }
        });
        return run.result;
    }

    private static String refusal(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof OperationIds.RefusedException refused) {
                return refused.code();
            }
        }
        return "";
    }

    private static boolean isUnreached(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
                return true;
            }
        }
        return false;
    }

    /** One request with its attempts. The attempts run one after the other, so the fields need no lock. */
    private final class RequestRun {
        private final LoadRequest request;
        private final CompletableFuture<RequestResult> result = new CompletableFuture<>();
        private volatile String operationId = "";
        private final AtomicInteger attempts = new AtomicInteger();
        private volatile boolean waited;
        private volatile boolean mayHaveRun;

        RequestRun(LoadRequest request) {
            this.request = request;
        }

        void finish(RequestResult end) {
            result.complete(end);
        }

        void attempt() {
            attempts.incrementAndGet();
            addresses.best(System.nanoTime()).whenComplete((address, failure) -> {
                if (address == null) {
                    finish(RequestResult.of(Ending.NO_ANSWER, waited));
                } else {
                    attempt(address);
                }
            });
        }

        private void attempt(String address) {
            long sentNanos = System.nanoTime();
            client.sendAsync(buildRequest(address), HttpResponse.BodyHandlers.ofByteArray())
                    .whenComplete((answer, failure) -> attemptEnded(address, sentNanos, answer, failure));
        }

        private HttpRequest buildRequest(String address) {
            HttpRequest.Builder message = HttpRequest.newBuilder(URI.create("http://" + address + request.path()))
                    .header("Authorization", team.authorization())
                    .timeout(ANSWER_TIMEOUT);
            if (request.trafficClass() == TrafficClass.BOOKING) {
                message.header("Operation-Id", operationId)
                        .POST(HttpRequest.BodyPublishers.ofString("number=" + request.number()));
            }
            return message.build();
        }

        private void attemptEnded(
                String address, long sentNanos, @Nullable HttpResponse<byte[]> answer, @Nullable Throwable failure) {
            try {
                if (answer == null || failure != null) {
                    attemptFailed(address, sentNanos, failure);
                } else {
                    handleAnswer(address, sentNanos, answer);
                }
            } catch (RuntimeException fault) {
                // A request that never completes would delay the end of the load.
                result.completeExceptionally(fault);
            }
        }

        private void attemptFailed(String address, long sentNanos, @Nullable Throwable failure) {
            boolean notConnected = failure != null && isUnreached(failure);
            log.attempt(team, sentNanos, notConnected ? AttemptResult.UNREACHED : AttemptResult.CUT, "", !mayHaveRun);
            mayHaveRun = mayHaveRun || !notConnected;
            addresses.reject(address);
            if (attempts.get() < MAX_ATTEMPTS) {
                attempt();
            } else {
                finish(RequestResult.of(Ending.NO_ANSWER, waited));
            }
        }

        private void handleAnswer(String address, long sentNanos, HttpResponse<byte[]> answer) {
            String refusal = answer.headers().firstValue("Auburnhoist-Refusal").orElse("");
            AttemptResult kind = refusal.isEmpty() ? AttemptResult.ANSWERED : AttemptResult.REFUSED;
            log.attempt(team, sentNanos, kind, refusal, !mayHaveRun);
            if (refusal.isEmpty()) {
                finish(RequestResult.of(ending(answer), waited));
            } else if (NEXT_ADDRESS_REFUSALS.contains(refusal) && attempts.get() < MAX_ATTEMPTS) {
                addresses.reject(address);
                attempt();
            } else if (!waited && answer.headers().firstValue("Retry-After").isPresent()) {
                waited = true;
                long seconds = answer.headers().firstValueAsLong("Retry-After").orElse(1);
                timer.schedule(() -> attempt(), Math.min(seconds, MAX_RETRY_AFTER_SECONDS), TimeUnit.SECONDS);
            } else {
                finish(new RequestResult(Ending.REFUSED, refusal, waited));
            }
        }

        private Ending ending(HttpResponse<byte[]> answer) {
            if (answer.statusCode() / 100 != 2) {
                return Ending.UPSTREAM_ERROR;
            }
            String path = answer.headers().firstValue("Upstream-Path").orElse("");
            return switch (checker.check(request, operationId, path, answer.body())) {
                case COMPLETE -> Ending.GOOD;
                case INCOMPLETE -> Ending.INCOMPLETE;
                case CROSSED -> Ending.CROSSED;
            };
        }
    }
}
