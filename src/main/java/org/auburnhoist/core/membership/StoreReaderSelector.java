package org.auburnhoist.core.membership;

import java.util.List;
import org.auburnhoist.core.HostId;

/** Selects the members that poll the store, so that the load of the store does not grow with the fleet. */
public final class StoreReaderSelector {
    private final MembershipSettings settings;

    /** Creates a selector with the given settings. */
    public StoreReaderSelector(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Whether this host should read the store at the read interval. */
    public boolean isReader(FreshnessTable table, long nowNanos) {
        return table.roster()
                .member(table.self())
                .map(own -> readers(table, own.dataCentre(), nowNanos).contains(table.self()))
                .orElse(false);
    }

    /** Returns the live members of lowest rank in a data centre. */
    public List<HostId> readers(FreshnessTable table, String dataCentre, long nowNanos) {
        return table.roster().members().stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .map(Member::id)
                .filter(id -> table.isLive(id, settings.deadAfter(), nowNanos))
                .limit(settings.storeReadersPerDataCentre())
                .toList();
    }
}
