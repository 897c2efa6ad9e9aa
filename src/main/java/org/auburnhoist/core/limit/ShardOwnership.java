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
 * Determines the shards from which this host may grant tokens.
 *
 * <p>The host must be fresh and own the shard in its newest roster. A shard taken over without a handover is used only
 * after the takeover is settled and the former owner is certain to have stopped.
 */
public final class ShardOwnership implements ShardView {
    private final FreshnessTable table;
    private final MembershipSettings settings;
    private final Map<Integer, OwnershipPeriod> periods = new HashMap<>();
    private final Map<Integer, Long> handedOverVersions = new HashMap<>();

    /** Creates the ownership state of the host to which the given table belongs. */
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
        return table.isFresh(nowNanos) ? ownedPeriod(shard, nowNanos) : Optional.empty();
    }

    /**
     * Accepts a shard from its former owner, which no longer grants tokens from it.
     *
     * @param shard shard number
     * @param from the sender, as authenticated
     * @param ownedSinceVersion roster version of the takeover to which the sender refers
     * @param period ownership period to use from now on
     * @return false if the handover is late, repeated, or not from the expected sender
     */
    public boolean acceptHandover(int shard, HostId from, long ownedSinceVersion, OwnershipPeriod period) {
        @Nullable Shard owned = ownShard(shard);
        if (owned == null
                || owned.ownedSinceVersion() != ownedSinceVersion
                || !from.equals(owned.formerOwner())
                || isStarted(shard, owned)) {
            return false;
        }
        periods.put(shard, period);
        return true;
    }

    /**
     * Removes and returns this host's ownership period of a shard that the newest roster assigns to another owner, so
     * that it is handed over at most once. Empty if another host owned the shard in between.
     */
    public Optional<OwnershipPeriod> takeForHandover(int shard, long nowNanos) {
        Shard current = currentShard(shard);
        if (current.owner().equals(table.self())) {
            return Optional.empty();
        }
        @Nullable OwnershipPeriod period = periods.remove(shard);
        boolean isFormerOwner = table.self().equals(current.formerOwner());
        @Nullable Long handedOverVersion = handedOverVersions.get(shard);
        boolean isRepeated = handedOverVersion != null && handedOverVersion == current.ownedSinceVersion();
        if (!isFormerOwner || isRepeated) {
            return Optional.empty();
        }
        handedOverVersions.put(shard, current.ownedSinceVersion());
        if (period == null && current.formerSinceVersion() == 0) {
            // No host has granted tokens from this shard yet, so its buckets are still full.
            return Optional.of(new OwnershipPeriod(0, nowNanos, true));
        }
        return Optional.ofNullable(period)
                .filter(candidate -> candidate.ownedSinceVersion() == current.formerSinceVersion());
    }

    /** Returns the shard with its owner according to the newest roster. */
    public Shard currentShard(int shard) {
        return table.roster().shards().get(shard);
    }

    private Optional<OwnershipPeriod> ownedPeriod(int shard, long nowNanos) {
        @Nullable Shard owned = ownShard(shard);
        if (owned == null) {
            return Optional.empty();
        }
        if (!isStarted(shard, owned)) {
            @Nullable OwnershipPeriod period = startPeriod(owned, nowNanos);
            if (period == null) {
                return Optional.empty();
            }
            periods.put(shard, period);
        }
        return Optional.ofNullable(periods.get(shard));
    }

    private boolean isStarted(int shard, Shard owned) {
        @Nullable OwnershipPeriod period = periods.get(shard);
        return period != null && period.ownedSinceVersion() == owned.ownedSinceVersion();
    }

    private @Nullable OwnershipPeriod startPeriod(Shard owned, long nowNanos) {
        if (owned.ownedSinceVersion() == 0) {
            return new OwnershipPeriod(0, nowNanos, true);
        }
        OptionalLong settled = table.rosterSettledAtNanos(owned.ownedSinceVersion());
        if (settled.isEmpty()) {
            return null;
        }
        long startNanos = settled.getAsLong() + settings.takeoverWaitNanos();
        return nowNanos >= startNanos ? new OwnershipPeriod(owned.ownedSinceVersion(), startNanos, false) : null;
    }

    private @Nullable Shard ownShard(int shard) {
        Shard candidate = currentShard(shard);
        return candidate.owner().equals(table.self()) ? candidate : null;
    }
}
