package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.auburnhoist.host.CallerDrain;
import org.auburnhoist.host.ControlScheduler;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.support.Event;

/**
 * Graceful shutdown of a host, which drains the requests in progress.
 *
 * <p>The host announces at once that it accepts no callers, and continues to serve those that have not learned of it.
 * Then it closes its listener and refuses, as not run, the requests that still arrive on open connections, because they
 * might not be answered in time. It ends when the requests in progress have finished and callers no longer use its
 * address, or at its stop limit.
 */
final class GatewayShutdown {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final GatewaySettings settings;
    private final StopTimes times;
    private final ControlScheduler control;
    private final LongConsumer leave;
    private final Runnable end;
    private final ProxyServer proxy;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private long startNanos;

    /**
     * Creates a shutdown, which {@link #begin} starts.
     *
     * @param leave tells the other hosts that this one accepts no new callers; gets the current time
     * @param end called when no request is in progress or the rest are ended
     */
    GatewayShutdown(
            GatewaySettings settings, ControlScheduler control, LongConsumer leave, Runnable end, ProxyServer proxy) {
        this.settings = settings;
        this.times = StopTimes.within(settings.stopLimit());
        this.control = control;
        this.leave = leave;
        this.end = end;
        this.proxy = proxy;
    }

    /**
     * Begins the shutdown; completes when the host may be closed.
     *
     * @param signalNanos when the stop was requested, from which its times are counted
     */
    CompletableFuture<Void> begin(long signalNanos) {
        control.execute(now -> {
            startNanos = signalNanos;
            Event.named("host-stopping").with("host", settings.name()).log();
            proxy.closeAfterResponses();
            leave.accept(now);
            control.schedule(times.accepting().minusNanos(now - signalNanos), this::stopAccepting);
        });
        return finished;
    }

    private void stopAccepting(long nowNanos) {
        proxy.stopAccepting(startNanos + times.draining().toNanos());
        Event.named("stopped-accepting")
                .with("requests_in_progress", proxy.unfinishedRequests().size())
                .with("connections", proxy.callerConnections())
                .log();
        awaitRequests(nowNanos);
    }

    private void awaitRequests(long nowNanos) {
        long elapsed = nowNanos - startNanos;
        Duration addressUse = settings.addressValidity().multipliedBy(StopTimes.VALIDITIES_UNTIL_UNUSED);
        boolean callersGone = proxy.callerConnections() == 0 || elapsed > addressUse.toNanos();
        boolean drained = proxy.requestsInProgress() == 0 && callersGone;
        if (drained || elapsed > times.draining().toNanos()) {
            CallerDrain.end(proxy, control, this::stop);
        } else {
            control.schedule(CHECK_INTERVAL, this::awaitRequests);
        }
    }

    private void stop(int requestsEnded) {
        end.run();
        Event.named("host-stopped")
                .with("host", settings.name())
                .with("requests_ended", requestsEnded)
                .with("requests_cut", proxy.unfinishedRequests().size())
                .with("connections_closed", proxy.callerConnections())
                .log();
        finished.complete(null);
    }
}
