package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;

/** The rule of invariant I1. */
final class EjectionFloor {
    /** Absorbs the rounding of products such as 0.55 × 20, which would otherwise round up to one server too many. */
    private static final double ROUNDING = 1e-9;

    private EjectionFloor() {}

    /** Largest number of servers, not leaving, that may be ejected at a time. */
    static int mostEjected(Service service) {
        int present = (int)
                service.servers().stream().filter(server -> !server.leaving()).count();
        int kept = (int) Math.ceil(service.floor() * present - ROUNDING);
        return Math.max(0, present - Math.max(0, kept));
    }

    static boolean isPresent(Service service, String name) {
        return service.servers().stream().anyMatch(server -> isPresent(server, name));
    }

    private static boolean isPresent(Server server, String name) {
        return server.name().equals(name) && !server.leaving();
    }
}
