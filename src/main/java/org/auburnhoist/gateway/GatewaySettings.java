package org.auburnhoist.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.auburnhoist.core.dispatch.FloorSettings;
import org.auburnhoist.core.dispatch.RetryBudgetSettings;
import org.auburnhoist.core.limit.FallbackLimiter;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a host in a fleet on a platform.
 *
 * @param name the host's name, unique in the fleet and the same after a restart
 * @param dataCentre the host's data centre
 * @param capacity processor share, the weight of the host when roles are assigned
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform asks whether the host accepts callers, or null
 * @param directoryAddress where callers ask for addresses, or null
 * @param peerAddress where other hosts connect
 * @param addressValidity how long callers may cache an address response
 * @param stopLimit maximum duration of a planned stop
 * @param quotaTolerance excess over teams' limits that the deployment tolerates
 * @param retryBudget retries that each service tolerates over all hosts
 * @param floor fraction of the servers that must stay in use
 * @param maxCallerConnections maximum number of open connections of callers
 * @param firstStart whether the whole fleet starts for the first time
 */
public record GatewaySettings(
        String name,
        String dataCentre,
        double capacity,
        InetSocketAddress callerAddress,
        @Nullable InetSocketAddress readinessAddress,
        @Nullable InetSocketAddress directoryAddress,
        InetSocketAddress peerAddress,
        Duration addressValidity,
        Duration stopLimit,
        FallbackLimiter.Tolerance quotaTolerance,
        RetryBudgetSettings retryBudget,
        FloorSettings floor,
        int maxCallerConnections,
        boolean firstStart) {}
