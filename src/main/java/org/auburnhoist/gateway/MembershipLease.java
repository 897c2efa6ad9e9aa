package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Event;

/**
 * Keeps this host's entry among the members, tied to a lease. Belongs to the control thread.
 *
 * <p>The entry of an earlier process under the same name is replaced: the platform starts a host's process again only
 * after the earlier one has ended.
 */
final class MembershipLease {
    /** A host that is gone for good stays a member for this long; its duties rest until then. */
    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(15);
    /** Three renewals may fail before the lease ends. */
    private static final long RENEWAL_INTERVAL_NANOS = TIME_TO_LIVE.toNanos() / 4;
    /** The host gives up its duties this long before the store may give them to others. */
    private static final long SAFETY_MARGIN_NANOS = Duration.ofSeconds(1).toNanos();

    private final Store store;
    private final ControlThread control;
    private final RetryDelay delay;
    private final String key;
    private FleetMember member;
    private long leaseId;
    private long revision;
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
        this.delay = new RetryDelay(random);
        this.nextActionNanos = nowNanos;
        this.validUntilNanos = nowNanos;
    }

    /** The revision of the entry that an earlier process has left. */
    void entrySeen(long seenRevision) {
        revision = seenRevision;
    }

    /** Whether no other host can have got this host's duties, and this host has not begun to leave. */
    boolean isHeld(long nowNanos) {
        return registered && !member.leaving() && validUntilNanos - SAFETY_MARGIN_NANOS - nowNanos > 0;
    }

    /** Registers or renews when it is time; to be called a few times a second. */
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

    /** Tells the others that this host takes no new callers; the result is not waited for. */
    void markLeaving(long nowNanos) {
        member = member.asLeaving();
        registered = false;
        nextActionNanos = nowNanos;
        tick(nowNanos);
    }

    /** The entry was seen to be missing, so it is written again. */
    void entryMissing(long nowNanos) {
        if (registered && !busy && !ended) {
            registered = false;
            nextActionNanos = nowNanos;
        }
    }

    /** No further calls. */
    void end() {
        ended = true;
    }

    private void grant(long nowNanos) {
        store.grantLease(TIME_TO_LIVE)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof LeaseResult.Granted granted) {
                        leaseId = granted.leaseId();
                        validUntilNanos = nowNanos + granted.timeToLive().toNanos();
                        register(nowNanos);
                    } else {
                        failed("lease-not-granted", result, now);
                    }
                }));
    }

    private void register(long startedNanos) {
        store.compareAndSwap(key, revision, FleetCodec.member(member), leaseId)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof WriteResult.Done done) {
                        revision = done.revision();
                        succeeded();
                        registered = true;
                        nextActionNanos = startedNanos + RENEWAL_INTERVAL_NANOS;
                        Event.named("member-registered")
                                .with("host", member.id())
                                .with("leaving", member.leaving())
                                .log();
                    } else if (result instanceof WriteResult.Conflict conflict) {
                        // The entry of an earlier process under this name, or an own write whose answer was lost.
                        revision = conflict.currentRevision();
                        busy = false;
                        nextActionNanos = now;
                    } else {
                        // The lease may be what is missing; a new one is as good.
                        leaseId = 0;
                        failed("member-not-registered", result, now);
                    }
                }));
    }

    private void renew(long startedNanos) {
        store.keepAlive(leaseId)
                .thenAccept(result -> control.execute(now -> {
                    if (result instanceof LeaseResult.Granted granted) {
                        succeeded();
                        validUntilNanos = startedNanos + granted.timeToLive().toNanos();
                        nextActionNanos = startedNanos + RENEWAL_INTERVAL_NANOS;
                    } else if (result instanceof LeaseResult.Expired) {
                        Event.named("lease-expired").with("host", member.id()).warn();
                        leaseId = 0;
                        registered = false;
                        busy = false;
                        revision = 0;
                        nextActionNanos = now;
                    } else {
                        long left = validUntilNanos - SAFETY_MARGIN_NANOS - now;
                        failed("lease-not-renewed", result, now, delay.nextNanos(left));
                    }
                }));
    }

    private void succeeded() {
        busy = false;
        delay.reset();
    }

    private void failed(String event, Object result, long nowNanos) {
        failed(event, result, nowNanos, delay.nextNanos());
    }

    private void failed(String event, Object result, long nowNanos, long waitNanos) {
        busy = false;
        nextActionNanos = nowNanos + waitNanos;
        Event.named(event).with("result", result).warn();
    }
}
