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
 * Requests that came while this host starts. They wait for the configuration, which comes within a second, for a part
 * of the time that their callers allow; sending the callers away would cost them more.
 */
final class StartupQueue {
    /** A start from the first accepted connection to the configuration takes about half a second. */
    private static final Duration MAX_WAIT = Duration.ofMillis(500);
    /** Part of a request's time that it may wait here; the rest is for the work. */
    private static final double WAIT_FRACTION = 0.25;
    /** Bounds the memory of a host that cannot read its configuration. */
    private static final int MAX_WAITING = 200;
    /** A host whose configuration is missing for longer than it should needs some time more. */
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
     * Lets a request wait.
     *
     * @param allowedMillis time that the caller allows for the whole request, -1 if unlimited
     * @param policy decides about the request once there is a configuration
     */
    CompletionStage<Admission> enqueue(long allowedMillis, Supplier<CompletionStage<Admission>> policy) {
        return control.<Admission>answer((admission, now) -> {
                    if (open) {
                        forward(policy, admission);
                    } else if (waiting.size() >= MAX_WAITING) {
                        admission.complete(REFUSED);
                    } else {
                        QueuedRequest entry = new QueuedRequest(policy, admission);
                        waiting.add(entry);
                        control.after(maxWait(allowedMillis), later -> {
                            if (waiting.remove(entry)) {
                                admission.complete(REFUSED);
                            }
                        });
                    }
                })
                .exceptionally(overloaded -> REFUSED);
    }

    /** The configuration is known; to be called on the control thread. */
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
        Duration share = Duration.ofMillis((long) (allowedMillis * WAIT_FRACTION));
        return share.compareTo(MAX_WAIT) < 0 ? share : MAX_WAIT;
    }
}
