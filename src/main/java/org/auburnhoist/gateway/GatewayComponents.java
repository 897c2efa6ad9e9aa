package org.auburnhoist.gateway;

import java.util.Set;
import java.util.function.Supplier;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.host.HostMetrics;

/**
 * The parts of a host that decide about requests.
 *
 * @param settings the host's settings
 * @param control the only thread that uses slots and quotas
 * @param cache configuration, servers and members
 * @param slots slots of the services' servers
 * @param notices what servers have said about further requests
 * @param quotas tokens of the teams
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
