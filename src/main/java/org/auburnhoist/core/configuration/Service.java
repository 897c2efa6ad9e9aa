package org.auburnhoist.core.configuration;

import java.util.List;

/**
 * A group of interchangeable upstream servers.
 *
 * @param name unique name
 * @param slotsPerServer maximum number of requests that one server runs at a time
 * @param connectionsPerServer maximum number of connections that one server accepts from the whole fleet
 * @param floor minimum share of the servers, from 0 to 1, that ejection must leave in use
 * @param profile how readily failing servers are ejected
 * @param servers the servers, in the order of the file
 */
public record Service(
        String name,
        int slotsPerServer,
        int connectionsPerServer,
        double floor,
        DetectionProfile profile,
        List<Server> servers) {

    /** Copies the list of servers. */
    public Service {
        servers = List.copyOf(servers);
    }
}
