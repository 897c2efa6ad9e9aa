package org.auburnhoist.load;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.Key;
import org.auburnhoist.core.configuration.Route;
import org.auburnhoist.core.configuration.Team;

/**
 * The load that one team sends.
 *
 * @param team the team's name
 * @param keyId public id of its key
 * @param authorization value of the {@code Authorization} header with its key
 * @param ratePerSecond mean arrival rate without a surge
 * @param limitPerSecond allowed rate of the team
 * @param burst allowed burst of the team
 * @param paths path prefixes by traffic class; requests of a class without one are never sent
 */
public record TeamLoad(
        String team,
        String keyId,
        String authorization,
        double ratePerSecond,
        double limitPerSecond,
        int burst,
        Map<TrafficClass, List<String>> paths) {
    private static final String SECRET_PREFIX = "demonstration-secret-of-";

    /** Makes a defensive copy of the map. */
    public TeamLoad {
        paths = Map.copyOf(paths);
    }

    /**
     * Returns the loads of the teams of a configuration whose keys have the public demonstration secrets.
     *
     * @param configuration the configuration
     * @param rateShare sent rate as a share of each team's allowed rate
     */
    public static List<TeamLoad> of(FleetConfiguration configuration, double rateShare) {
        return configuration.teams().values().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .map(team -> of(configuration, team, rateShare))
                .toList();
    }

    private static TeamLoad of(FleetConfiguration configuration, Team team, double rateShare) {
        String keyId = configuration.keys().values().stream()
                .filter(key -> key.team().equals(team.name()) && !key.withdrawn())
                .map(Key::id)
                .sorted()
                .findFirst()
                .orElse("");
        return new TeamLoad(
                team.name(),
                keyId,
                "Bearer " + keyId + "." + SECRET_PREFIX + keyId,
                team.ratePerSecond() * rateShare,
                team.ratePerSecond(),
                team.burst(),
                Map.of(
                        TrafficClass.LOOKUP, paths(configuration, team, TrafficClass.LOOKUP, "GET"),
                        TrafficClass.BOOKING, paths(configuration, team, TrafficClass.BOOKING, "POST"),
                        TrafficClass.DOWNLOAD, paths(configuration, team, TrafficClass.DOWNLOAD, "GET")));
    }

    private static List<String> paths(
            FleetConfiguration configuration, Team team, TrafficClass trafficClass, String method) {
        return configuration.routes().stream()
                .filter(route -> route.trafficClass() == trafficClass && !route.open())
                .filter(route -> route.methods().contains(method))
                .filter(route -> route.teams().isEmpty() || route.teams().contains(team.name()))
                .map(Route::pathPrefix)
                .sorted()
                .toList();
    }
}
