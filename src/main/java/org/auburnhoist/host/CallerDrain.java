package org.auburnhoist.host;

import java.time.Duration;
import java.util.List;
import java.util.function.IntConsumer;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.proxy.UnfinishedRequest;
import org.auburnhoist.support.Event;

/** The end of a planned stop, after a host's listener is closed and its time for requests in progress is over. */
public final class CallerDrain {
    /** Time for callers to receive the last responses and to close their connections. */
    private static final Duration LINGER_TIME = Duration.ofMillis(100);
    /** Time for responses that are being sent to end. */
    private static final Duration TRANSFER_TIME = Duration.ofMillis(300);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    private CallerDrain() {}

    /**
     * Answers the requests that are left, lets responses that are being sent go on for a short time, and closes the
     * connections without a request.
     *
     * @param proxy the server, which accepts no further requests
     * @param control runs {@code next}
     * @param next called when callers have had time to read the responses; gets the number of requests that were left
     */
    public static void end(ProxyServer proxy, ControlScheduler control, IntConsumer next) {
        List<UnfinishedRequest> left = proxy.unfinishedRequests();
        proxy.endRequests();
        proxy.closeIdleConnections();
        for (UnfinishedRequest request : left) {
            Event.named("request-ended-by-stop")
                    .with("id", request.requestId())
                    .with("path", request.path())
                    .with("age_millis", request.ageMillis())
                    .with("whole_millis", request.wholeMillis())
                    .with("sent", request.sent())
                    .warn();
        }
        control.execute(now ->
                awaitResponses(proxy, control, now + TRANSFER_TIME.toNanos(), now, () -> next.accept(left.size())));
    }

    private static void awaitResponses(
            ProxyServer proxy, ControlScheduler control, long endNanos, long nowNanos, Runnable next) {
        if (proxy.unfinishedRequests().isEmpty() || nowNanos - endNanos >= 0) {
            control.schedule(LINGER_TIME, now -> next.run());
        } else {
            control.schedule(CHECK_INTERVAL, now -> awaitResponses(proxy, control, endNanos, now, next));
        }
    }
}
