package org.auburnhoist.core.limit;

import java.util.List;
import java.util.stream.IntStream;
import org.auburnhoist.core.StableHash;
import org.auburnhoist.core.routing.TeamPolicy;

/**
 * The shares into which a team's limit is divided, each with an owner of its own.
 *
 * <p>While the owner of one share is away, the others still admit most of what a team usually sends. A request is
 * refused only after each share that can be asked has no token.
 */
public final class TeamShares {
    /** With three shares, two thirds of the limit are left while one host is away. */
    public static final int COUNT = 3;

    /**
     * Groups of teams whose shares have the same owners. Each host keeps a link to every owner that it asks, so few
     * owners mean few links, while many mean little work for each; at 400 requests/s each owner answers 17 a second.
     */
    private static final int GROUPS = 8;

    private static final char SEPARATOR = '#';

    private TeamShares() {}

    /** The part of a team's limit that one share holds; its name is unique among all shares. */
    public static TeamPolicy share(TeamPolicy team, int index) {
        return new TeamPolicy(
                nameOf(team.name(), index), team.priority(), team.ratePerSecond() / COUNT, team.burst() / COUNT);
    }

    /** The names of all shares of a team. */
    public static List<String> namesOf(String team) {
        return IntStream.range(0, COUNT).mapToObj(index -> nameOf(team, index)).toList();
    }

    private static String nameOf(String team, int index) {
        return team + SEPARATOR + index;
    }

    /** The team to which a share belongs; the name itself if it names no share. */
    public static String teamOf(String share) {
        int end = share.lastIndexOf(SEPARATOR);
        return end < 0 ? share : share.substring(0, end);
    }

    /** The number of the share with a name, or -1 if there is none. */
    public static int indexOf(String share) {
        return namesOf(teamOf(share)).indexOf(share);
    }

    /** The duty of deciding about a share; the shares of one team belong to different duties. */
    public static String placementKey(String share) {
        String team = teamOf(share);
        return "team-shares/" + Math.floorMod(StableHash.of(team), (long) GROUPS) + share.substring(team.length());
    }

    /** The share that a host asks first, so that hosts spread their questions over a team's owners. */
    public static int preferredShare(String team, String host) {
        return (int) Math.floorMod(StableHash.of(host + '\n' + team), (long) COUNT);
    }

    /** The tolerated excess of one share, so that all shares together stay within that of the team. */
    public static FallbackLimiter.Tolerance shareTolerance(FallbackLimiter.Tolerance whole) {
        return new FallbackLimiter.Tolerance(whole.windowSeconds(), whole.overrun(), whole.slack() / COUNT);
    }
}
