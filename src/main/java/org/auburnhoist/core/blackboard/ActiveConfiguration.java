package org.auburnhoist.core.blackboard;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.AccessPolicy;
import org.auburnhoist.core.configuration.FleetConfiguration;

/**
 * A configuration with the index that requests are decided by.
 *
 * @param configuration what the files declare
 * @param access finds routes and keys
 */
public record ActiveConfiguration(FleetConfiguration configuration, AccessPolicy access) {
    /** Stands for no configuration; its version is 0. */
    public static final ActiveConfiguration NONE =
            of(new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), List.of()));

    /** Builds the index. */
    public static ActiveConfiguration of(FleetConfiguration configuration) {
        return new ActiveConfiguration(configuration, AccessPolicy.of(configuration));
    }

    /** The configuration's version. */
    public long version() {
        return configuration.version();
    }
}
