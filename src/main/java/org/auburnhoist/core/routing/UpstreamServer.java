package org.auburnhoist.core.routing;

/**
 * The registration of an upstream server.
 *
 * @param id name of this incarnation of the server
 * @param startedMillis start time of the server, as Unix time in milliseconds; together with the id it identifies one
 *     process
 * @param service name of the service that it provides
 * @param address IP address and port
 * @param dataCentre data centre in which it runs
 * @param slots maximum number of requests that it processes concurrently, at least 1
 * @param leaving whether it has announced that it is leaving and must get no new requests
 * @param warmUpMillis remaining warm-up time, in which the server is slow, as of its registration
 */
public record UpstreamServer(
        String id,
        long startedMillis,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean leaving,
        long warmUpMillis) {
    /** The same server, which must get no new requests. */
    public UpstreamServer asLeaving() {
        return new UpstreamServer(id, startedMillis, service, address, dataCentre, slots, true, warmUpMillis);
    }
}
