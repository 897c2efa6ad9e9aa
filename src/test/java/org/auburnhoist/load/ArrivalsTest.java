package org.auburnhoist.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against loads that are not reproducible, or whose rates differ from the configured ones. */
class ArrivalsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final TeamLoad SCHOOLS = team("schools", 50);
    private static final TeamLoad CLUBS = team("clubs", 5);

    static TeamLoad team(String name, double rate) {
        Map<TrafficClass, List<String>> paths = Map.of(
                TrafficClass.LOOKUP, List.of("/telescopes"),
                TrafficClass.DOWNLOAD, List.of("/charts"));
        return new TeamLoad(name, "key", "Bearer key.secret", rate, rate, 10, paths);
    }

    @Test
    void dependOnlyOnTheSeed() {
        Arrivals arrivals = new Arrivals(ClassShares.STANDARD, List.of(), 20 * SECOND);
        List<LoadRequest> first = arrivals.draw(List.of(SCHOOLS, CLUBS), 7);
        assertEquals(first, arrivals.draw(List.of(SCHOOLS, CLUBS), 7));
        assertNotEquals(first, arrivals.draw(List.of(SCHOOLS, CLUBS), 8));
    }

    @Test
    void areOrderedAndHaveUniquePaths() {
        List<LoadRequest> requests =
                new Arrivals(ClassShares.STANDARD, List.of(), 20 * SECOND).draw(List.of(SCHOOLS, CLUBS), 7);
        for (int index = 1; index < requests.size(); index++) {
            assertTrue(
                    requests.get(index - 1).offsetNanos() <= requests.get(index).offsetNanos());
        }
        long paths = requests.stream().map(LoadRequest::path).distinct().count();
        assertEquals(requests.size(), paths);
    }

    @Test
    void multiplyTheRateDuringASurgeOnly() {
        Surge surge = new Surge("schools", 5, 10 * SECOND, 20 * SECOND);
        List<LoadRequest> requests =
                new Arrivals(ClassShares.STANDARD, List.of(surge), 30 * SECOND).draw(List.of(SCHOOLS, CLUBS), 7);
        // The tolerance is five standard deviations of a Poisson count.
        assertEquals(2500, count(requests, "schools", 10, 20), 250);
        assertEquals(1000, count(requests, "schools", 0, 10) + count(requests, "schools", 20, 30), 160);
        assertEquals(150, count(requests, "clubs", 0, 30), 62);
    }

    @Test
    void replaceAClassThatTheTeamMayNotSend() {
        List<LoadRequest> requests =
                new Arrivals(new ClassShares(0, 1, 0), List.of(), SECOND).draw(List.of(SCHOOLS), 7);
        assertTrue(requests.stream().allMatch(request -> request.trafficClass() == TrafficClass.LOOKUP));
    }

    private static long count(List<LoadRequest> requests, String team, long fromSecond, long untilSecond) {
        return requests.stream()
                .filter(request -> request.team().team().equals(team))
                .filter(request -> request.offsetNanos() >= fromSecond * SECOND)
                .filter(request -> request.offsetNanos() < untilSecond * SECOND)
                .count();
    }
}
