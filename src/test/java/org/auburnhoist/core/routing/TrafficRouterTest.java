package org.auburnhoist.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Sha256;
import org.junit.jupiter.api.Test;

/** Guards against requests sent to the service of another route, and against shares that deviate from the weights. */
class TrafficRouterTest {
    private static TrafficRoute route(String name, String host, String prefix, WeightedService... services) {
        return new TrafficRoute(name, host, prefix, TrafficClass.LOOKUP, 1_000, 500, 1, List.of(services), 2, false);
    }

    private static TrafficRouter router(TrafficRoute... routes) {
        return TrafficRouter.of(new TrafficConfiguration(
                1,
                List.of(routes),
                Set.of("a", "b"),
                Map.of("members", new TeamPolicy("members", -1, 5, 5)),
                Map.of(Sha256.hex("secret"), "members")));
    }

    @Test
    void theLongestMatchingPrefixOfTheHostSelectsTheRoute() {
        TrafficRouter router = router(
                route("all", "one.example", "/", new WeightedService("a", 1)),
                route("stars", "one.example", "/stars/", new WeightedService("a", 1)),
                route("bright", "one.example", "/stars/bright/", new WeightedService("b", 1)),
                route("other", "two.example", "/stars/", new WeightedService("b", 1)));
        assertEquals("bright", name(router, "one.example", "/stars/bright/9"));
        assertEquals("stars", name(router, "One.Example:8080", "/stars/brightest"));
        assertEquals("all", name(router, "one.example", "/stars"));
        assertEquals("other", name(router, "two.example", "/stars/"));
        assertNull(router.route("two.example", "/planets/"));
        assertNull(router.route("three.example", "/stars/"));
    }

    private static String name(TrafficRouter router, String host, String path) {
        TrafficRoute route = router.route(host, path);
        assertNotNull(route, host + path);
        return route.name();
    }

    @Test
    void onlyAValidKeyIdentifiesATeam() {
        TrafficRouter router = router();
        assertEquals("members", router.teamOfKey("secret"));
        assertNull(router.teamOfKey("Secret"));
        assertNull(router.teamOfKey(""));
    }

    @Test
    void sharesFollowTheWeightsOverHostsWithFewRequests() {
        TrafficRoute route =
                route("split", "one.example", "/", new WeightedService("a", 90), new WeightedService("b", 10));
        int hosts = 40;
        int perHost = 8;
        Map<String, Integer> counts = new HashMap<>();
        for (int host = 0; host < hosts; host++) {
            TrafficSplitter splitter = new TrafficSplitter(new Random(host));
            for (int request = 0; request < perHost; request++) {
                counts.merge(splitter.nextService(route), 1, Integer::sum);
            }
        }
        double share = counts.getOrDefault("b", 0) / (double) (hosts * perHost);
        assertEquals(0.10, share, 0.05, "share of the lighter service over hosts with few requests each");
    }

    @Test
    void aServiceOfZeroWeightGetsNoRequests() {
        TrafficRoute route =
                route("split", "one.example", "/", new WeightedService("a", 1), new WeightedService("b", 0));
        TrafficSplitter splitter = new TrafficSplitter(new Random(1));
        for (int request = 0; request < 100; request++) {
            assertEquals("a", splitter.nextService(route));
        }
    }
}
