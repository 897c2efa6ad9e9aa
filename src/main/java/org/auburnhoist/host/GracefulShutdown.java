package org.auburnhoist.host;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.support.Event;

/**
 * Takes a host out of service without interrupting requests, as a planned stop or after the host was removed.
 *
 * <p>In a planned stop, the host is marked as leaving, which moves its shards to other hosts and excludes it from new
 * address responses. It keeps serving until every address response that listed it has expired, then closes callers'
 * connections as their requests finish, hands its operation records over, and leaves the roster.
 */
final class GracefulShutdown {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_WRITE_ATTEMPTS = 20;

    private final HostSettings settings;
    private final ControlThread control;
    private final HostControllers controllers;
    private final ProxyServer proxy;
    private final LongConsumer refreshSnapshot;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private boolean started;
    private long drainDeadlineNanos;

    GracefulShutdown(
            HostSettings settings,
            ControlThread control,
            HostControllers controllers,
            ProxyServer proxy,
            LongConsumer viewChanged) {
        this.settings = settings;
        this.control = control;
        this.controllers = controllers;
        this.proxy = proxy;
        this.refreshSnapshot = viewChanged;
    }

    /** Starts a planned stop; later calls have no further effect. Completes when the host may be closed. */
    CompletableFuture<Void> begin() {
        control.execute(now -> {
            if (!started) {
                started = true;
                Event.named("host-stopping")
                        .with("host", controllers.board().self())
                        .log();
                controllers.board().markStopping();
                refreshSnapshot.accept(now);
                markLeaving(MAX_WRITE_ATTEMPTS);
            }
        });
        return finished;
    }

    /** Waits for the requests in progress of a host that the others have removed; completes when it may be closed. */
    CompletableFuture<Void> drainRemoved() {
        control.execute(now -> {
            if (!started) {
                started = true;
                controllers.board().markStopping();
                drainDeadlineNanos = now + settings.stopLimit().toNanos();
                proxy.stopAccepting(drainDeadlineNanos);
                awaitNoRequests(now, later -> finished.complete(null));
            }
        });
        return finished;
    }

    /**
     * Marks the host as leaving. Without the store, the roster cannot be changed, and the shutdown continues without
     * the mark.
     */
    private void markLeaving(int attemptsLeft) {
        controllers
                .store()
                .markLeaving()
                .thenAccept(marked -> control.execute(now -> {
                    if (marked || attemptsLeft <= 1) {
                        control.schedule(settings.addressValidity(), this::drain);
                    } else {
                        control.schedule(CHECK_INTERVAL, later -> markLeaving(attemptsLeft - 1));
                    }
                }));
    }

    private void drain(long nowNanos) {
        drainDeadlineNanos = nowNanos + settings.stopLimit().toNanos();
        proxy.stopAccepting(drainDeadlineNanos);
        awaitNoRequests(nowNanos, this::handOver);
    }

    private void awaitNoRequests(long nowNanos, LongConsumer next) {
        if (proxy.requestsInProgress() > 0 && drainDeadlineNanos - nowNanos > 0) {
            control.schedule(CHECK_INTERVAL, later -> awaitNoRequests(later, next));
        } else {
            CallerDrain.end(proxy, control, left -> control.execute(next));
        }
    }

    private void handOver(long nowNanos) {
        controllers
                .operations()
                .handOver(nowNanos)
                .thenAccept(handedOver -> control.execute(now -> {
                    Event.named("operations-handed-over")
                            .with("complete", handedOver)
                            .log();
                    leaveRoster(MAX_WRITE_ATTEMPTS);
                }));
    }

    private void logStopped(boolean left) {
        Event event = Event.named("host-stopped").with("left_roster", left);
        if (!left) {
            Roster roster = controllers.board().roster();
            HostId self = controllers.board().self();
            if (roster != null && roster.member(self).isPresent()) {
                boolean quorum = roster.canRemove(Set.of(self));
                event.with("reason", quorum ? "roster-not-written" : "others-are-no-quorum")
                        .with("removal", "left-to-steward");
            }
        }
        event.log();
    }

    private void leaveRoster(int attemptsLeft) {
        controllers
                .store()
                .leave()
                .thenAccept(left -> control.execute(now -> {
                    if (left || attemptsLeft <= 1) {
                        logStopped(left);
                        finished.complete(null);
                    } else {
                        control.schedule(CHECK_INTERVAL, later -> leaveRoster(attemptsLeft - 1));
                    }
                }));
    }
}
