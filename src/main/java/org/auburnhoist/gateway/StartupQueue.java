package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.proxy.Admission;

/**
 * Queue of requests that arrive while this host starts. They wait for the configuration, which arrives within a second,
 * for at most a fraction of the time that their callers allow; a refusal would cost the callers more time.
 */
final class StartupQueue {
    /** The configuration arrives about half a second after the first accepted connection. */
    private static final Duration MAX_WAIT = Duration.ofMillis(500);
    /** Fraction of a request's time that it may wait here; the rest is for processing it. */
    private static final double WAIT_FRACTION = 0.25;
    /** Bounds the memory of a host that cannot read its configuration. */
    private static final int MAX_WAITING = 200;
    /** Retry delay for callers; a host whose configuration is overdue needs some more time. */
    private static final long RETRY_MILLIS = 500;

    private static final Admission REFUSED =
            new Admission.Refused(Refusal.HOST_ISOLATED, "this host has no configuration yet", RETRY_MILLIS, List.of());

    private final ControlThread control;
    private final List<QueuedRequest> waiting = new ArrayList<>();
    private boolean open;

    private record QueuedRequest(Supplier<CompletionStage<Admission>> policy, CompletableFuture<Admission> admission) {}

    StartupQueue(ControlThread control) {
        this.control = control;
    }

    /**
     * Queues a request until the configuration is known.
     *
     * @param allowedMillis time that the caller allows for the whole request, -1 if unlimited
     * @param policy admits or refuses the request once the configuration is known
     */
    CompletionStage<Admission> enqueue(long allowedMillis, Supplier<CompletionStage<Admission>> policy) {
        return control.<Admission>computeAsync((admission, now) -> {
                    if (open) {
                        forward(policy, admission);
                    } else if (waiting.size() >= MAX_WAITING) {
                        admission.complete(REFUSED);
                    } else {
                        QueuedRequest entry = new QueuedRequest(policy, admission);
                        waiting.add(entry);
                        control.schedule(maxWait(allowedMillis), later -> {
                            if (waiting.remove(entry)) {
                                admission.complete(REFUSED);
                            }
                        });
                    }
                })
                .exceptionally(overloaded -> REFUSED);
    }

    /** Releases the waiting requests once the configuration is known. Must be called on the control thread. */
    void open() {
        open = true;
        List<QueuedRequest> released = List.copyOf(waiting);
        waiting.clear();
        released.forEach(entry -> forward(entry.policy(), entry.admission()));
    }

    private static void forward(Supplier<CompletionStage<Admission>> policy, CompletableFuture<Admission> admission) {
        policy.get().whenComplete((decided, failure) -> {
            if (decided != null) {
                admission.complete(decided);
            } else {
                admission.completeExceptionally(failure);
            }
        });
    }

    private static Duration maxWait(long allowedMillis) {
        if (allowedMillis < 0) {
            return MAX_WAIT;
        }
        Duration allowedWait = Duration.ofMillis((long) (allowedMillis * WAIT_FRACTION));
        return allowedWait.compareTo(MAX_WAIT) < 0 ? allowedWait : MAX_WAIT;
    }
}
