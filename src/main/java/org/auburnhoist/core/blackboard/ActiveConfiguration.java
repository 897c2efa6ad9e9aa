package org.auburnhoist.core.blackboard;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.AccessPolicy;
import org.auburnhoist.core.configuration.FleetConfiguration;

/**
 * The configuration in force, together with the index by which requests are authorized and routed.
 *
 * @param configuration the declared configuration
 * @param access index of the configuration's routes and keys
 */
public record ActiveConfiguration(FleetConfiguration configuration, AccessPolicy access) {
    /** The empty configuration of a host that has not received one yet; its version is 0. */
    public static final ActiveConfiguration NONE =
            of(new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), List.of()));

    /** Builds the index of a configuration. */
    public static ActiveConfiguration of(FleetConfiguration configuration) {
        return new ActiveConfiguration(configuration, AccessPolicy.of(configuration));
    }

    /** Returns the version of the configuration. */
    public long version() {
        return configuration.version();
    }
}
