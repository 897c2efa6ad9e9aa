package org.auburnhoist.proxy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.RecordedResponse;

/** Selects the given servers in order and records what the proxy reports. */
class TestForwarding implements Forwarding {
    record Attempt(AttemptOutcome outcome, boolean sent) {}

    record Finish(int status, Refusal refusal, RecordedResponse recorded, boolean complete) {}

    final List<Attempt> attempts = new CopyOnWriteArrayList<>();
    final CompletableFuture<Finish> finish = new CompletableFuture<>();
    private final TrafficClass trafficClass;
    private final Deque<String> addresses;
    private final long deadlineNanos;
    private int connectionLimit = 4;

    TestForwarding(TrafficClass trafficClass, Duration limit, String... addresses) {
        this.trafficClass = trafficClass;
        this.addresses = new ArrayDeque<>(List.of(addresses));
        this.deadlineNanos = System.nanoTime() + limit.toNanos();
    }

    static TestForwarding lookup(String... addresses) {
        return new TestForwarding(TrafficClass.LOOKUP, Duration.ofSeconds(60), addresses);
    }

    static TestForwarding booking(String... addresses) {
        return new TestForwarding(TrafficClass.BOOKING, Duration.ofSeconds(60), addresses);
    }

    TestForwarding connectionLimit(int value) {
        connectionLimit = value;
        return this;
    }

    Finish awaitFinish() throws Exception {
        return finish.get(60, TimeUnit.SECONDS);
    }

    @Override
    public TrafficClass trafficClass() {
        return trafficClass;
    }

    @Override
    public long deadlineNanos() {
        return deadlineNanos;
    }

    @Override
    public CompletionStage<Target> nextTarget(long nowNanos) {
        String address = addresses.poll();
        return CompletableFuture.completedFuture(
                address == null
                        ? new Target.NoTarget(Refusal.SERVICE_OVERLOADED, "No server is left.", 1500)
                        : new Target.ServerTarget(address, address, connectionLimit));
    }

    @Override
    public boolean attemptEnded(AttemptOutcome outcome, boolean sent, long latencyMicros, long nowNanos) {
        attempts.add(new Attempt(outcome, sent));
        return !addresses.isEmpty();
    }

    @Override
    public void finished(int status, Refusal refusal, RecordedResponse recorded, boolean complete, long nowNanos) {
        if (!finish.complete(new Finish(status, refusal, recorded, complete))) {
            throw new IllegalStateException("finished: expected one call");
        }
    }
}
