package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.auburnhoist.host.CallerDrain;
import org.auburnhoist.host.ControlThread;
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
    /** Fraction of the stop limit during which late callers are still served. */
    private static final double ACCEPT_FRACTION = 0.45;
    /** Later requests are refused even if the stop limit is long; callers learn of the stop sooner than that. */
    private static final Duration MAX_ACCEPT_TIME = Duration.ofMillis(2_700);
    /** Callers use an address for up to this many times its validity. */
    private static final int VALIDITIES_UNTIL_UNUSED = 3;
    /** Fraction of the stop limit after which requests in progress are ended. */
    private static final double DRAIN_FRACTION = 0.88;

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
     * @param end called when no request is in progress or the rest are ended
     */
    GatewayShutdown(
            GatewaySettings settings, ControlThread control, LongConsumer leave, Runnable end, ProxyServer proxy) {
        this.settings = settings;
        this.control = control;
        this.leave = leave;
        this.end = end;
        this.proxy = proxy;
    }

    /** Begins the shutdown; completes when the host may be closed. */
    CompletableFuture<Void> begin() {
        control.execute(now -> {
            startNanos = now;
            Event.named("host-stopping").with("host", settings.name()).log();
            proxy.closeAfterResponses();
            leave.accept(now);
            Duration accepting = fractionOfLimit(ACCEPT_FRACTION);
            control.schedule(
                    accepting.compareTo(MAX_ACCEPT_TIME) < 0 ? accepting : MAX_ACCEPT_TIME, this::stopAccepting);
        });
        return finished;
    }

    private void stopAccepting(long nowNanos) {
        proxy.stopAccepting(startNanos + fractionOfLimit(DRAIN_FRACTION).toNanos());
        Event.named("stopped-accepting")
                .with("requests_in_progress", proxy.unfinishedRequests().size())
                .with("connections", proxy.callerConnections())
                .log();
        awaitRequests(nowNanos);
    }

    private void awaitRequests(long nowNanos) {
        long elapsed = nowNanos - startNanos;
        Duration addressUse = settings.addressValidity().multipliedBy(VALIDITIES_UNTIL_UNUSED);
        boolean callersGone = proxy.callerConnections() == 0 || elapsed > addressUse.toNanos();
        boolean drained = proxy.requestsInProgress() == 0 && callersGone;
        if (drained || elapsed > fractionOfLimit(DRAIN_FRACTION).toNanos()) {
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

    private Duration fractionOfLimit(double fraction) {
        return Duration.ofMillis((long) (settings.stopLimit().toMillis() * fraction));
    }
}
