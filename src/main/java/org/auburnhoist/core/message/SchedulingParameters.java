package org.auburnhoist.core.message;

import java.util.List;

/**
 * Parameters by which a dispatcher orders the requests that wait for the same service and selects their servers.
 *
 * @param priority priority level, 0 is the highest
 * @param targetLatencyMillis time from now within which the answer has its full value, 0 if not stated
 * @param attempt 1 for the request's first attempt
 * @param dataCentre data centre of the requesting host, empty if it does not matter
 * @param connectedServers servers to which the requesting host has an idle connection
 * @param allowedServers the only servers that may get the request, empty if any may: the request has been sent to as
 *     many servers as its route allows, and these rejected it without running it
 * @param serverLimits limits that servers of the service have named to the requesting host
 */
public record SchedulingParameters(
        int priority,
        long targetLatencyMillis,
        int attempt,
        String dataCentre,
        List<String> connectedServers,
        List<String> allowedServers,
        List<ReportedLimit> serverLimits) {
    /** Parameters of a first attempt without an explicit priority, target latency or data centre. */
    public static final SchedulingParameters STANDARD = new SchedulingParameters(0, 0, 1, "", List.of());

    /** Copies the lists. */
    public SchedulingParameters {
        connectedServers = List.copyOf(connectedServers);
        allowedServers = List.copyOf(allowedServers);
        serverLimits = List.copyOf(serverLimits);
    }

    /** Creates the parameters of an attempt while no server has named a limit. */
    public SchedulingParameters(
            int priority,
            long targetLatencyMillis,
            int attempt,
            String dataCentre,
            List<String> connectedServers,
            List<String> allowedServers) {
        this(priority, targetLatencyMillis, attempt, dataCentre, connectedServers, allowedServers, List.of());
    }

    /** Creates the parameters of an attempt that may go to any server. */
    public SchedulingParameters(
            int priority, long targetLatencyMillis, int attempt, String dataCentre, List<String> connectedServers) {
        this(priority, targetLatencyMillis, attempt, dataCentre, connectedServers, List.of());
    }
}
