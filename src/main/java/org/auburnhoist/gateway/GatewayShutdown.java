package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.support.Event;

/**
 * Takes a host out of service without cutting a request.
 *
 * <p>The host says at once that it takes no callers, goes on serving those that have not heard of it, then closes its
 * listener, lets the requests in progress finish and ends.
 */
final class GatewayShutdown {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
    /** Part of the stop's time in which late callers are still accepted. */
    private static final double ACCEPT_FRACTION = 0.5;
    /** Part of the stop's time after which requests in progress are cut off. */
    private static final double DRAIN_FRACTION = 0.93;

    private final GatewaySettings settings;
    private final ControlThread control;
    private final LongConsumer leave;
    private final Runnable end;
    private final ProxyServer proxy;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private long startNanos;

    /**
     * A stop.
     *
     * @param leave tells the other hosts that this one takes no new callers; gets the present time
     * @param end called when no request is left
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
            control.after(fractionOfLimit(ACCEPT_FRACTION), this::stopAccepting);
        });
        return finished;
    }

    private void stopAccepting(long nowNanos) {
        proxy.stopAccepting();
        Event.named("stopped-accepting")
                .with("requests_in_progress", proxy.requestsInProgress())
                .log();
        awaitRequests(nowNanos);
    }

    private void awaitRequests(long nowNanos) {
        long limit = startNanos + fractionOfLimit(DRAIN_FRACTION).toNanos();
        int left = proxy.requestsInProgress();
        if (left > 0 && limit - nowNanos > 0) {
            control.after(CHECK_INTERVAL, this::awaitRequests);
            return;
        }
        end.run();
        Event.named("host-stopped")
                .with("host", settings.name())
                .with("requests_cut", left)
                .log();
        finished.complete(null);
    }

    private Duration fractionOfLimit(double part) {
        return Duration.ofMillis((long) (settings.stopLimit().toMillis() * part));
    }
}
