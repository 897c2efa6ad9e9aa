package org.auburnhoist.core.routing;

/**
 * A server as it has registered itself.
 *
 * @param id name of this incarnation of the server
 * @param startedMillis Unix time in milliseconds of its start; with the id it names one process
 * @param service the service that it serves
 * @param address IP address and port
 * @param dataCentre where it runs
 * @param slots requests that it works on at a time, at least 1
 * @param leaving whether it has announced that it leaves and must get no new work
 * @param warmUpMillis how much longer it is slow after its start, as of its registration
 */
public record UpstreamServer(
        String id,
        long startedMillis,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean leaving,
        long warmUpMillis) {}
