package org.auburnhoist.gateway;

import java.util.Set;
import java.util.function.Supplier;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.host.HostMetrics;

/**
 * The components of a host that admit and forward requests.
 *
 * @param settings the host's settings
 * @param control the only thread that uses slots and quotas
 * @param cache configuration, servers and members
 * @param slots slots on the services' servers
 * @param notices notices of servers that they accept no further requests
 * @param quotas tokens of the teams' rate limits
 * @param metrics counters and histograms
 * @param idleUpstreams addresses of servers to which an idle connection is open
 */
record GatewayComponents(
        GatewaySettings settings,
        ControlThread control,
        StoreCache cache,
        SlotBroker slots,
        ServerNotices notices,
        QuotaBroker quotas,
        HostMetrics metrics,
        Supplier<Set<String>> idleUpstreams) {}
