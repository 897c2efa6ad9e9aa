package org.auburnhoist.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against encoded or ambiguous paths that bypass the route declared for a resource. */
class RouteTableTest {
    private final RouteTable table = RouteTable.of(List.of(
            route("open", "/", true, "GET"),
            route("staff", "/staff", false, "GET"),
            route("staff-public", "/staff/public", true, "GET"),
            route("loans", "/loans", false, "POST")));

    @ParameterizedTest
    @CsvSource({
        "/, open, /",
        "/staff, staff, /staff",
        "/staff/, staff, /staff/",
        "/staff/a, staff, /staff/a",
        "/staffing, open, /staffing",
        "/staff/public/x, staff-public, /staff/public/x",
        "/staff/publicity, staff, /staff/publicity",
        "/%73taff/a, staff, /staff/a",
        "/s%74%61ff, staff, /staff",
        "/staff%2eold, open, /staff.old",
        "/caf%c3%a9, open, /caf%C3%A9",
        "/a%20b, open, /a%20b",
        "/100%25, open, /100%25",
    })
    void matchesTheLongestPrefixAtASegmentBoundary(String path, String route, String normalised) {
        RouteMatch.Found found = assertInstanceOf(RouteMatch.Found.class, table.match("GET", path));
        assertEquals(route, found.route().name());
        assertEquals(normalised, found.path());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/x/../staff",
                "/./staff",
                "/x/%2e%2e/staff",
                "/x/.%2E/staff",
                "/staff/public/..",
                "/staff/public/%2e./a",
                "/staff/public%2f..%2fa",
                "/staff/public/..;/a",
                "/staff;x=1",
                "/staff%3bx",
                "//staff",
                "/x//staff",
                "/x\\..\\staff",
                "/x/..%5cstaff",
                "/%252e%252e/staff",
                "/x/%c0%ae%c0%ae/staff",
                "/x/%e0%80%ae/staff",
                "/staff%00",
                "/staff%",
                "/staff%7",
                "/staff%zz",
                "/staff?x",
                "/staff#x",
                "/st aff",
                "/staff\u0000",
                "/\u017ftaff",
                "staff",
                "",
                "*",
                "http://host/staff",
            })
    void refusesPathsThatAnUpstreamCouldInterpretDifferently(String path) {
        assertInstanceOf(RouteMatch.Malformed.class, table.match("GET", path));
    }

    @Test
    void doesNotFallBackToAShorterPrefixForAnotherMethod() {
        assertEquals(new RouteMatch.Unknown(), table.match("GET", "/loans/1"));
        assertEquals(new RouteMatch.Unknown(), table.match("get", "/staff"));
    }

    @Test
    void recognisesReservedPathsWithEscapes() {
        assertEquals(new RouteMatch.Reserved("/.auburnhoist/a"), table.match("GET", "/%2Eauburnhoist/%61"));
        assertInstanceOf(RouteMatch.Found.class, table.match("GET", "/.auburnhoists"));
    }

    @Test
    void findsEachOfManyRoutes() {
        List<Route> routes = new ArrayList<>();
        for (int index = 0; index < 3_900; index++) {
            routes.add(route("r" + index, "/area-" + index % 60 + "/item-" + index, false, "GET"));
        }
        RouteTable many = RouteTable.of(routes);
        for (int index = 0; index < 3_900; index++) {
            RouteMatch match = many.match("GET", "/area-" + index % 60 + "/item-" + index + "/a/b");
            assertEquals(
                    "r" + index,
                    assertInstanceOf(RouteMatch.Found.class, match).route().name());
        }
        assertEquals(new RouteMatch.Unknown(), many.match("GET", "/area-1"));
    }

    @Test
    void refusesOverlappingRoutes() {
        List<Route> routes = List.of(route("a", "/x", true, "GET"), route("b", "/x", false, "GET"));
        assertThrows(IllegalArgumentException.class, () -> RouteTable.of(routes));
    }

    private static Route route(String name, String path, boolean open, String method) {
        return new Route(
                name, Set.of(method), path, "service", TrafficClass.LOOKUP, open, Set.of(), Duration.ofSeconds(1));
    }
}
