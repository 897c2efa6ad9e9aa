package org.auburnhoist.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Splits the traffic of each route among its services by smooth weighted round-robin.
 *
 * <p>The number of requests for each service stays within one request of its exact share. The initial credits are
 * random, so that many hosts with few requests each do not all start with the same service.
 */
public final class TrafficSplitter {
    private static final class RouteCredits {
        final List<WeightedService> services;
        final double[] creditByService;

        RouteCredits(List<WeightedService> services, RandomGenerator random) {
            this.services = services;
            this.creditByService = new double[services.size()];
            int total = services.stream().mapToInt(WeightedService::weight).sum();
            for (int index = 0; index < creditByService.length; index++) {
                creditByService[index] = random.nextDouble() * total;
            }
        }
    }

    private final Map<String, RouteCredits> creditsByRoute = new HashMap<>();
    private final RandomGenerator random;

    /** Creates a splitter that draws its initial credits from the given source of random numbers. */
    public TrafficSplitter(RandomGenerator random) {
        this.random = random;
    }

    /** Selects the service for the route's next request. */
    public String nextService(TrafficRoute route) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        RouteCredits credits = creditsByRoute.get(route.name());
        if (credits == null || !credits.services.equals(route.services())) {
            credits = new RouteCredits(route.services(), random);
            creditsByRoute.put(route.name(), credits);
        }
        int total = 0;
        int best = -1;
        for (int index = 0; index < credits.creditByService.length; index++) {
            int weight = credits.services.get(index).weight();
            total += weight;
            credits.creditByService[index] += weight;
            if (weight > 0 && (best < 0 || credits.creditByService[index] > credits.creditByService[best])) {
                best = index;
            }
        }
        int chosen = Math.max(best, 0);
        credits.creditByService[chosen] -= total;
        return credits.services.get(chosen).service();
    }
}
