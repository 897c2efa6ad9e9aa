package org.auburnhoist.core.blackboard;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.KeyRing;
import org.auburnhoist.core.configuration.RouteTable;

/**
 * A configuration with the indexes that requests are decided by.
 *
 * @param configuration what the files declare
 * @param keys finds keys
 * @param routes finds routes
 */
public record ActiveConfiguration(FleetConfiguration configuration, KeyRing keys, RouteTable routes) {
    /** Stands for no configuration; its version is 0. */
    public static final ActiveConfiguration NONE =
            of(new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), List.of()));

    /** Builds the indexes. */
    public static ActiveConfiguration of(FleetConfiguration configuration) {
        return new ActiveConfiguration(
                configuration, KeyRing.of(configuration.keys().values()), RouteTable.of(configuration.routes()));
    }

    /** The configuration's version. */
    public long version() {
        return configuration.version();
    }
}
