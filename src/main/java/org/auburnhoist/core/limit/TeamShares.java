package org.auburnhoist.core.limit;

import java.util.List;
import java.util.stream.IntStream;
import org.auburnhoist.core.StableHash;
import org.auburnhoist.core.routing.TeamPolicy;

/**
 * The shares into which a team's limit is divided, each with its own owner.
 *
 * <p>While the owner of one share is unreachable, the others still admit most of what a team usually sends. A request
 * is refused only after every share with a reachable owner has turned out to have no token.
 */
public final class TeamShares {
    /** With three shares, two thirds of the limit are left while one host is unreachable. */
    public static final int COUNT = 3;

    /**
     * Number of groups of teams whose shares have the same owners. Each host keeps a connection to every owner that it
     * asks, so few owners mean few connections, while many owners mean little work for each: at 400 requests/s, each
     * owner answers 17 requests/s.
     */
    private static final int PLACEMENT_GROUPS = 8;

    private static final char SEPARATOR = '#';

    private TeamShares() {}

    /** Returns one share of a team's limit; its name is unique among all shares. */
    public static TeamPolicy share(TeamPolicy team, int index) {
        return new TeamPolicy(
                shareName(team.name(), index), team.priority(), team.ratePerSecond() / COUNT, team.burst() / COUNT);
    }

    /** Returns the names of all shares of a team. */
    public static List<String> namesOf(String team) {
        return IntStream.range(0, COUNT)
                .mapToObj(index -> shareName(team, index))
                .toList();
    }

    private static String shareName(String team, int index) {
        return team + SEPARATOR + index;
    }

    /** Returns the team to which a share belongs, or the given name if it is not the name of a share. */
    public static String teamOf(String share) {
        int separator = share.lastIndexOf(SEPARATOR);
        return separator < 0 ? share : share.substring(0, separator);
    }

    /** Returns the index of the share with the given name, or -1 if there is none. */
    public static int indexOf(String share) {
        return namesOf(teamOf(share)).indexOf(share);
    }

    /** Returns the rendezvous hashing key that decides a share's owner; the shares of a team have different keys. */
    public static String placementKey(String share) {
        String team = teamOf(share);
        return "team-shares/" + Math.floorMod(StableHash.of(team), (long) PLACEMENT_GROUPS)
                + share.substring(team.length());
    }

    /** Returns the share that a host asks first; this spreads the hosts' requests over a team's owners. */
    public static int preferredShare(String team, String host) {
        return (int) Math.floorMod(StableHash.of(host + '\n' + team), (long) COUNT);
    }

    /** Returns the tolerated excess of one share, so that all shares together stay within that of the team. */
    public static FallbackLimiter.Tolerance shareTolerance(FallbackLimiter.Tolerance teamTolerance) {
        return new FallbackLimiter.Tolerance(
                teamTolerance.windowSeconds(), teamTolerance.overrun(), teamTolerance.slack() / COUNT);
    }
}
