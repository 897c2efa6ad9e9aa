package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.auburnhoist.core.TrafficClass;

/**
 * Open-loop arrivals: one Poisson process for each team, whose times and requests depend only on the seed and never on
 * answers. The sequence of a team does not depend on the other teams.
 */
public final class Arrivals {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_DOWNLOAD_BYTES = 100_000;

    /** Maximum number of requests of a load; bounds the memory of a schedule. */
    public static final int MAX_REQUESTS = 1_000_000;

    private final ClassShares shares;
    private final List<Surge> surges;
    private final long durationNanos;

    /** Creates arrivals for a load of the given duration. */
    public Arrivals(ClassShares shares, List<Surge> surges, long durationNanos) {
        this.shares = shares;
        this.surges = List.copyOf(surges);
        this.durationNanos = durationNanos;
    }

    /**
     * Draws all requests in the order of their scheduled times.
     *
     * @throws IllegalArgumentException if there would be more than {@link #MAX_REQUESTS}
     */
    public List<LoadRequest> draw(List<TeamLoad> teams, long seed) {
        List<LoadRequest> requests = new ArrayList<>();
        for (TeamLoad team : teams) {
            drawTeam(team, new SplittableRandom(seed ^ team.team().hashCode() * 0x9E3779B97F4A7C15L), requests);
        }
        requests.sort(Comparator.comparingLong(LoadRequest::offsetNanos));
        return requests;
    }

    /** Thinning: draws at the maximum rate and drops the surplus, which keeps a varying-rate process Poisson. */
    private void drawTeam(TeamLoad team, SplittableRandom random, List<LoadRequest> requests) {
        double maxFactor = surges.stream()
                .filter(surge -> surge.team().equals(team.team()))
                .mapToDouble(Surge::factor)
                .reduce(1, Math::max);
        double meanGapNanos = NANOS_PER_SECOND / (team.ratePerSecond() * maxFactor);
        double time = gap(random, meanGapNanos);
        while (time < durationNanos) {
            long offset = (long) time;
            if (random.nextDouble() * maxFactor < factor(team, offset)) {
                requests.add(request(team, offset, requests.size(), random));
            }
            if (requests.size() > MAX_REQUESTS) {
                throw new IllegalArgumentException("load: expected at most " + MAX_REQUESTS + " requests, got more");
            }
            time += gap(random, meanGapNanos);
        }
    }

    private double factor(TeamLoad team, long offset) {
        return surges.stream()
                .filter(surge -> surge.covers(team.team(), offset))
                .mapToDouble(Surge::factor)
                .reduce(1, (a, b) -> a * b);
    }

    private LoadRequest request(TeamLoad team, long offset, long number, SplittableRandom random) {
        TrafficClass drawn = shares.at(random.nextDouble());
        TrafficClass sent = paths(team, drawn).isEmpty() ? TrafficClass.LOOKUP : drawn;
        List<String> prefixes = paths(team, sent);
        String prefix = prefixes.get(random.nextInt(prefixes.size()));
        long size = sent == TrafficClass.DOWNLOAD ? 1 + random.nextInt(MAX_DOWNLOAD_BYTES) : -1;
        String query = size < 0 ? "?n=" + number : "?size=" + size + "&n=" + number;
        String path = (sent == TrafficClass.BOOKING ? prefix : prefix + "/" + random.nextInt(1000)) + query;
        return new LoadRequest(number, offset, team, sent, path, size);
    }

    private static List<String> paths(TeamLoad team, TrafficClass trafficClass) {
        return team.paths().getOrDefault(trafficClass, List.of());
    }

    private static double gap(SplittableRandom random, double meanNanos) {
        return -Math.log(1 - random.nextDouble()) * meanNanos;
    }
}
