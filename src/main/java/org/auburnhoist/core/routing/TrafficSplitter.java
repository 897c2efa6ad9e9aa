package org.auburnhoist.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Divides each route's requests among its services by smooth weighted round-robin.
 *
 * <p>Each service's count stays within one request of its exact share. The starting point is random, so that many hosts
 * with few requests each do not all begin with the same service.
 */
public final class TrafficSplitter {
    private static final class Credits {
        final List<WeightedService> services;
        final double[] credit;

        Credits(List<WeightedService> services, RandomGenerator random) {
            this.services = services;
            this.credit = new double[services.size()];
            int total = services.stream().mapToInt(WeightedService::weight).sum();
            for (int index = 0; index < credit.length; index++) {
                credit[index] = random.nextDouble() * total;
            }
        }
    }

    private final Map<String, Credits> byRoute = new HashMap<>();
    private final RandomGenerator random;

    /** Creates a split whose starting points come from a source of random numbers. */
    public TrafficSplitter(RandomGenerator random) {
        this.random = random;
    }

    /** Chooses the service of the route's next request. */
    public String nextService(TrafficRoute route) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        Credits credits = byRoute.get(route.name());
        if (credits == null || !credits.services.equals(route.services())) {
            credits = new Credits(route.services(), random);
            byRoute.put(route.name(), credits);
        }
        int total = 0;
        int best = -1;
        for (int index = 0; index < credits.credit.length; index++) {
            int weight = credits.services.get(index).weight();
            total += weight;
            credits.credit[index] += weight;
            if (weight > 0 && (best < 0 || credits.credit[index] > credits.credit[best])) {
                best = index;
            }
        }
        int chosen = Math.max(best, 0);
        credits.credit[chosen] -= total;
        return credits.services.get(chosen).service();
    }
}
