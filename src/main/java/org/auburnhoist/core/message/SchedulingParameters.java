package org.auburnhoist.core.message;

import java.util.List;

/**
 * What decides between requests that wait for the same service.
 *
 * @param priority rank, 0 is the highest
 * @param targetLatencyMillis time from now within which the answer has its full use, 0 if not stated
 * @param attempt 1 for the request's first attempt
 * @param dataCentre where the asking host runs, empty if that does not matter
 * @param connectedServers servers to which the asking host has an idle connection
 * @param allowedServers the only servers that may get the request, empty if any may: the request has been sent to as
 *     many servers as its route allows, and these rejected it without running it
 */
public record SchedulingParameters(
        int priority,
        long targetLatencyMillis,
        int attempt,
        String dataCentre,
        List<String> connectedServers,
        List<String> allowedServers) {
    /** Terms of a first attempt without a rank of its own. */
    public static final SchedulingParameters STANDARD = new SchedulingParameters(0, 0, 1, "", List.of());

    /** Copies the lists. */
    public SchedulingParameters {
        connectedServers = List.copyOf(connectedServers);
        allowedServers = List.copyOf(allowedServers);
    }

    /** Terms of an attempt that any server may get. */
    public SchedulingParameters(
            int priority, long targetMillis, int attempt, String dataCentre, List<String> connected) {
        this(priority, targetMillis, attempt, dataCentre, connected, List.of());
    }
}
