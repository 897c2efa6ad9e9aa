package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Event;

/**
 * Maintains this host's entry among the members, which is bound to a lease. Confined to the control thread.
 *
 * <p>The entry of an earlier process under the same name is replaced: the platform starts a host's process again only
 * after the earlier one has ended.
 */
final class MembershipLease {
    /** A host that has stopped for good stays a member for this long; until then no other host takes over its roles. */
    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(15);
    /** Three renewals may fail before the lease expires. */
    private static final long RENEWAL_INTERVAL_NANOS = TIME_TO_LIVE.toNanos() / 4;
    /** The host gives up its roles this long before the lease may expire in the store and others may take them over. */
    private static final long SAFETY_MARGIN_NANOS = Duration.ofSeconds(1).toNanos();

    private final Store store;
    private final ControlThread control;
    private final RetryDelay retryDelay;
    private final String key;
    private FleetMember member;
    private long leaseId;
    /** Era of the store that granted the lease; a store that is restored from a copy may have lost it. */
    private long leaseEra;

    private StorePosition position = StorePosition.NONE;
    private boolean registered;
    private boolean busy;
    private boolean ended;
    private long validUntilNanos;
    private long nextActionNanos;

    MembershipLease(Store store, ControlThread control, FleetMember member, RandomGenerator random, long nowNanos) {
        this.store = store;
        this.control = control;
        this.member = member;
        this.key = GatewayKeys.memberKey(member.id().name());
        this.retryDelay = new RetryDelay(random);
        this.nextActionNanos = nowNanos;
        this.validUntilNanos = nowNanos;
    }

    /** Records the position of the entry that an earlier process has left. */
    void entrySeen(StorePosition seen) {
        position = seen;
    }

    /** Whether no other host can have taken over this host's roles, and this host has not begun to leave. */
    boolean isHeld(long nowNanos) {
        return registered && !member.leaving() && validUntilNanos - SAFETY_MARGIN_NANOS - nowNanos > 0;
    }

    /** Registers the host or renews the lease when it is due. Must be called a few times a second. */
    void tick(long nowNanos) {
        if (busy || ended || nextActionNanos - nowNanos > 0) {
            return;
        }
        busy = true;
        if (leaseId == 0) {
            grant(nowNanos);
        } else if (!registered) {
            register(nowNanos);
        } else {
            renew(nowNanos);
        }
    }

    /** Marks the entry as leaving, so that this host gets no new callers; does not wait for the result. */
    void markLeaving(long nowNanos) {
        member = member.asLeaving();
        registered = false;
        nextActionNanos = nowNanos;
        tick(nowNanos);
    }

    /** Schedules a new registration, because the entry was found to be missing. */
    void entryMissing(long nowNanos) {
        if (registered && !busy && !ended) {
            registered = false;
            nextActionNanos = nowNanos;
        }
    }

    /** Ends all further calls to the store. */
    void end() {
        ended = true;
    }

    private void grant(long nowNanos) {
        store.grantLease(TIME_TO_LIVE)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof LeaseResult.Granted granted) {
                        leaseId = granted.leaseId();
                        leaseEra = granted.era();
                        validUntilNanos = nowNanos + granted.timeToLive().toNanos();
                        register(nowNanos);
                    } else {
                        failed("lease-not-granted", result, now);
                    }
                }));
    }

    private void register(long startedNanos) {
        store.compareAndSwap(key, position, FleetCodec.member(member), leaseId)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof WriteResult.Done done
                            && done.position().era() > leaseEra) {
                        position = done.position();
                        leaseLost("the store was restored", now);
                    } else if (result instanceof WriteResult.Done done) {
                        position = done.position();
                        succeeded();
                        registered = true;
                        nextActionNanos = startedNanos + RENEWAL_INTERVAL_NANOS;
                        Event.named("member-registered")
                                .with("host", member.id())
                                .with("leaving", member.leaving())
                                .log();
                    } else if (result instanceof WriteResult.Conflict conflict) {
                        // Written by an earlier process under this name, or by this one if the response was lost.
                        position = conflict.currentPosition();
                        busy = false;
                        nextActionNanos = now;
                    } else {
                        // The lease itself may be missing, so a new one is requested.
                        leaseId = 0;
                        failed("member-not-registered", result, now);
                    }
                }));
    }

    private void renew(long startedNanos) {
        store.keepAlive(leaseId)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof LeaseResult.Granted granted && granted.era() > leaseEra) {
                        // The ID may have been given out again, so the lease may be another host's.
                        position = StorePosition.NONE;
                        leaseLost("the store was restored", now);
                    } else if (result instanceof LeaseResult.Granted granted) {
                        succeeded();
                        validUntilNanos = startedNanos + granted.timeToLive().toNanos();
                        nextActionNanos = startedNanos + RENEWAL_INTERVAL_NANOS;
                    } else if (result instanceof LeaseResult.Expired) {
                        position = StorePosition.NONE;
                        leaseLost("it has expired", now);
                    } else {
                        long remainingNanos = validUntilNanos - SAFETY_MARGIN_NANOS - now;
                        failed("lease-not-renewed", result, now, retryDelay.nextNanos(remainingNanos));
                    }
                }));
    }

    /** Requests a new lease at once. */
    private void leaseLost(String reason, long nowNanos) {
        Event.named("lease-lost")
                .with("host", member.id())
                .with("reason", reason)
                .warn();
        leaseId = 0;
        registered = false;
        busy = false;
        nextActionNanos = nowNanos;
    }

    private void succeeded() {
        busy = false;
        retryDelay.reset();
    }

    private void failed(String event, Object result, long nowNanos) {
        failed(event, result, nowNanos, retryDelay.nextNanos());
    }

    private void failed(String event, Object result, long nowNanos, long waitNanos) {
        busy = false;
        nextActionNanos = nowNanos + waitNanos;
        Event.named(event).with("result", result).warn();
    }
}
