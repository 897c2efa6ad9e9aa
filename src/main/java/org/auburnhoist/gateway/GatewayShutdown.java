package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.proxy.UnfinishedRequest;
import org.auburnhoist.support.Event;

/**
 * Graceful shutdown of a host, which drains the requests in progress.
 *
 * <p>The host announces at once that it accepts no callers, continues to serve those that have not learned of it, then
 * closes its listener, lets the requests in progress finish and stops.
 */
final class GatewayShutdown {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
    /** Fraction of the stop limit during which late callers are still accepted. */
    private static final double ACCEPT_FRACTION = 0.5;
    /** Fraction of the stop limit after which requests in progress are aborted. */
    private static final double DRAIN_FRACTION = 0.93;

    private final GatewaySettings settings;
    private final ControlThread control;
    private final LongConsumer leave;
    private final Runnable end;
    private final ProxyServer proxy;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private long startNanos;

    /**
     * Creates a shutdown, which {@link #begin} starts.
     *
     * @param leave tells the other hosts that this one accepts no new callers; gets the current time
     * @param end called when no request is in progress or the rest are aborted
     */
    GatewayShutdown(
            GatewaySettings settings, ControlThread control, LongConsumer leave, Runnable end, ProxyServer proxy) {
        this.settings = settings;
        this.control = control;
        this.leave = leave;
        this.end = end;
        this.proxy = proxy;
    }

    CompletableFuture<Void> begin() {
        control.execute(now -> {
            startNanos = now;
            Event.named("host-stopping").with("host", settings.name()).log();
            proxy.closeAfterResponses();
            leave.accept(now);
            control.schedule(fractionOfLimit(ACCEPT_FRACTION), this::stopAccepting);
        });
        return finished;
    }

    private void stopAccepting(long nowNanos) {
        proxy.stopAccepting();
        Event.named("stopped-accepting")
                .with("requests_in_progress", proxy.unfinishedRequests().size())
                .log();
        awaitRequests(nowNanos);
    }

    private void awaitRequests(long nowNanos) {
        long limit = startNanos + fractionOfLimit(DRAIN_FRACTION).toNanos();
        int remaining = proxy.requestsInProgress();
        if (remaining > 0 && limit - nowNanos > 0) {
            control.schedule(CHECK_INTERVAL, this::awaitRequests);
            return;
        }
        end.run();
        List<UnfinishedRequest> cut = proxy.unfinishedRequests();
        for (UnfinishedRequest request : cut) {
            Event.named("request-cut")
                    .with("id", request.requestId())
                    .with("path", request.path())
                    .with("age_millis", request.ageMillis())
                    .with("sent", request.sent())
                    .warn();
        }
        Event.named("host-stopped")
                .with("host", settings.name())
                .with("requests_cut", cut.size())
                .log();
        finished.complete(null);
    }

    private Duration fractionOfLimit(double fraction) {
        return Duration.ofMillis((long) (settings.stopLimit().toMillis() * fraction));
    }
}
