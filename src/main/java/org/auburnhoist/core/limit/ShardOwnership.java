package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Shard;
import org.jspecify.annotations.Nullable;

/**
 * Decides from which shards this host may grant.
 *
 * <p>The host must be fresh and own the shard in its newest roster. A shard taken over without handover is used only
 * after the takeover is settled and the former owner must have stopped.
 */
public final class ShardOwnership implements ShardView {
    private final FreshnessTable table;
    private final MembershipSettings settings;
    private final Map<Integer, OwnershipPeriod> started = new HashMap<>();
    private final Map<Integer, Long> handedOver = new HashMap<>();

    /** Decides by the given table. */
    public ShardOwnership(FreshnessTable table, MembershipSettings settings) {
        this.table = table;
        this.settings = settings;
    }

    @Override
    public int shardCount() {
        return table.roster().shards().size();
    }

    @Override
    public Optional<OwnershipPeriod> activePeriod(int shard, long nowNanos) {
        return table.isFresh(nowNanos) ? ownedGrant(shard, nowNanos) : Optional.empty();
    }

    /**
     * Accepts the levels of a shard from its former owner, which no longer grants from it.
     *
     * @param shard shard number
     * @param from the sender, as authenticated
     * @param ownedSinceVersion roster version of the takeover that the sender means
     * @param start permission to use from now on
     * @return false if the handover is late, repeated, or not from the expected sender
     */
    public boolean acceptHandover(int shard, HostId from, long ownedSinceVersion, OwnershipPeriod start) {
        @Nullable Shard owned = ownShard(shard);
        if (owned == null
                || owned.ownedSinceVersion() != ownedSinceVersion
                || !from.equals(owned.formerOwner())
                || isStarted(shard, owned)) {
            return false;
        }
        started.put(shard, start);
        return true;
    }

    /**
     * Returns the permission that this host held for a shard which the newest roster gives to another owner, and
     * forgets it, so that it is handed over at most once. Empty if another host owned the shard in between.
     */
    public Optional<OwnershipPeriod> takeForHandover(int shard, long nowNanos) {
        Shard present = currentShard(shard);
        if (present.owner().equals(table.self())) {
            return Optional.empty();
        }
        @Nullable OwnershipPeriod held = started.remove(shard);
        boolean isFormerOwner = table.self().equals(present.formerOwner());
        @Nullable Long earlier = handedOver.get(shard);
        boolean isRepeated = earlier != null && earlier == present.ownedSinceVersion();
        if (!isFormerOwner || isRepeated) {
            return Optional.empty();
        }
        handedOver.put(shard, present.ownedSinceVersion());
        if (held == null && present.formerSinceVersion() == 0) {
            // Nobody has granted from this shard yet, so its buckets are still full.
            return Optional.of(new OwnershipPeriod(0, nowNanos, true));
        }
        return Optional.ofNullable(held).filter(grant -> grant.ownedSinceVersion() == present.formerSinceVersion());
    }

    /** Returns the shard's owner by the newest roster. */
    public Shard currentShard(int shard) {
        return table.roster().shards().get(shard);
    }

    private Optional<OwnershipPeriod> ownedGrant(int shard, long nowNanos) {
        @Nullable Shard owned = ownShard(shard);
        if (owned == null) {
            return Optional.empty();
        }
        if (!isStarted(shard, owned)) {
            @Nullable OwnershipPeriod start = start(owned, nowNanos);
            if (start == null) {
                return Optional.empty();
            }
            started.put(shard, start);
        }
        return Optional.ofNullable(started.get(shard));
    }

    private boolean isStarted(int shard, Shard owned) {
        @Nullable OwnershipPeriod grant = started.get(shard);
        return grant != null && grant.ownedSinceVersion() == owned.ownedSinceVersion();
    }

    private @Nullable OwnershipPeriod start(Shard owned, long nowNanos) {
        if (owned.ownedSinceVersion() == 0) {
            return new OwnershipPeriod(0, nowNanos, true);
        }
        OptionalLong settled = table.rosterSettledAtNanos(owned.ownedSinceVersion());
        if (settled.isEmpty()) {
            return null;
        }
        long start = settled.getAsLong() + settings.takeoverWaitNanos();
        return nowNanos >= start ? new OwnershipPeriod(owned.ownedSinceVersion(), start, false) : null;
    }

    private @Nullable Shard ownShard(int shard) {
        Shard candidate = currentShard(shard);
        return candidate.owner().equals(table.self()) ? candidate : null;
    }
}
