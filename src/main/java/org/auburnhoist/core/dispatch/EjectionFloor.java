package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;

/** Invariant I1: ejection leaves at least the configured share (the floor) of a service's servers in use. */
final class EjectionFloor {
    /** Compensates for rounding errors: the product 0.55 × 20, for example, would round up to one server too many. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private EjectionFloor() {}

    /** Maximum number of servers that may be ejected at a time; leaving servers do not count. */
    static int maxEjected(Service service) {
        int active = (int)
                service.servers().stream().filter(server -> !server.leaving()).count();
        int required = (int) Math.ceil(service.floor() * active - ROUNDING_TOLERANCE);
        return Math.max(0, active - Math.max(0, required));
    }

    static boolean isActive(Service service, String name) {
        return service.servers().stream().anyMatch(server -> isActive(server, name));
    }

    private static boolean isActive(Server server, String name) {
        return server.name().equals(name) && !server.leaving();
    }
}
