package org.auburnhoist.load;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Measures how the costs of the core and of the peer protocol grow with their input, and fits a line to each.
 *
 * <p>Arguments: the parts to run, any of {@code hosts}, {@code teams}, {@code work}, {@code operations} and
 * {@code messages}; without arguments all of them. Run it with the serial garbage collector, which the hosts use too.
 * Memory figures are the heap in use after a full collection.
 */
public final class CapacityMeasurement {
    /** Headers of a recorded response to a booking. */
    static final List<Map.Entry<String, String>> HEADERS = List.of(
            Map.entry("Content-Type", "application/json"),
            Map.entry("Content-Length", "300"),
            Map.entry("Location", "/bookings/2026-000123"),
            Map.entry("Date", "Fri, 04 Dec 2026 03:00:00 GMT"));

    private CapacityMeasurement() {}

    /** Runs the selected parts and prints their tables. */
    public static void main(String[] arguments) {
        Set<String> parts =
                arguments.length == 0 ? Set.of("hosts", "teams", "work", "operations", "messages") : Set.of(arguments);
        if (parts.contains("messages")) {
            new MessageCosts().run();
        }
        if (parts.contains("hosts")) {
            new HostCosts().run();
        }
        if (parts.contains("work")) {
            new WorkCosts().run();
        }
        if (parts.contains("operations")) {
            new WorkCosts().runOperations();
        }
        if (parts.contains("teams")) {
            new TeamCosts().run();
        }
    }
}
