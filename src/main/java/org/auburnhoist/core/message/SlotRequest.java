package org.auburnhoist.core.message;

import java.util.List;
import org.auburnhoist.core.TrafficClass;

/**
 * Asks a service's dispatcher for a server with a free slot.
 *
 * @param service the service's name
 * @param route the route's name
 * @param team the team's name, empty on open routes without a key
 * @param trafficClass traffic class of the route
 * @param deadlineMillis time from now after which a grant is of no use
 * @param fingerprint hash of the request
 * @param excludedServers servers that this request has already failed on
 * @param scheduling parameters that order this request among the waiting ones
 */
public record SlotRequest(
        String service,
        String route,
        String team,
        TrafficClass trafficClass,
        long deadlineMillis,
        long fingerprint,
        List<String> excludedServers,
        SchedulingParameters scheduling)
        implements Message {

    /** Copies the list. */
    public SlotRequest {
        excludedServers = List.copyOf(excludedServers);
    }

    /** Creates the request of a first attempt with the standard scheduling parameters. */
    public SlotRequest(
            String service,
            String route,
            String team,
            TrafficClass trafficClass,
            long deadlineMillis,
            long fingerprint,
            List<String> excludedServers) {
        this(
                service,
                route,
                team,
                trafficClass,
                deadlineMillis,
                fingerprint,
                excludedServers,
                SchedulingParameters.STANDARD);
    }
}
