package org.auburnhoist.core.configuration;

/**
 * One upstream server of a service.
 *
 * @param name unique name within the service
 * @param address IP address and port, such as {@code 127.0.0.1:9001}
 * @param dataCentre name of the server's data centre
 * @param leaving whether the server is being drained and gets no new requests
 */
public record Server(String name, String address, String dataCentre, boolean leaving) {}
