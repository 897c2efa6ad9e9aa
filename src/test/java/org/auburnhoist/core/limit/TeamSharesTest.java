package org.auburnhoist.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.routing.TeamPolicy;
import org.junit.jupiter.api.Test;

/** Guards against a team's limit depending on a single owner, and against it being exceeded over all shares. */
class TeamSharesTest {
    private static final long SECOND = 1_000_000_000L;
    private static final FallbackLimiter.Tolerance TOLERANCE = new FallbackLimiter.Tolerance(5, 0.1, 20);
    private static final TeamPolicy TEAM = new TeamPolicy("a#b", -1, 16, 16);

    private final List<TeamQuotas> owners = new ArrayList<>();

    private static List<TeamQuotas> ownersOf(long startNanos) {
        List<TeamQuotas> owners = new ArrayList<>();
        for (int index = 0; index < TeamShares.COUNT; index++) {
            owners.add(new TeamQuotas(TeamShares.shareTolerance(TOLERANCE), startNanos));
        }
        return owners;
    }

    private boolean tryAcquire(int first, Set<Integer> unreachable, long now) {
        for (int attempt = 0; attempt < TeamShares.COUNT; attempt++) {
            int index = (first + attempt) % TeamShares.COUNT;
            TeamPolicy share = TeamShares.share(TEAM, index);
            if (!unreachable.contains(index) && owners.get(index).acquire(share, now) instanceof TokenDecision.Admit) {
                return true;
            }
        }
        return false;
    }

    @Test
    void shareNamesAreParsedForAnyTeamName() {
        Set<String> names = new HashSet<>();
        for (String team : List.of("members", "a#b", "#", "a#1", "")) {
            for (int index = 0; index < TeamShares.COUNT; index++) {
                String name =
                        TeamShares.share(new TeamPolicy(team, 0, 9, 9), index).name();
                assertEquals(team, TeamShares.teamOf(name));
                assertEquals(index, TeamShares.indexOf(name));
                assertTrue(names.add(name), name);
            }
        }
        assertEquals(-1, TeamShares.indexOf("members"));
        assertEquals(-1, TeamShares.indexOf("members#7"));
    }

    /** Guards against a fleet in which nearly every request opens a connection to another host. */
    @Test
    void fewHostsOwnTheSharesOfManyTeams() {
        List<FleetMember> members = new ArrayList<>();
        for (int host = 0; host < 143; host++) {
            HostId id = new HostId("host-" + host, 1);
            members.add(new FleetMember(id, "10.0.0.1:1", "10.0.0.1:2", "a", false, 0.3 + 0.45 * (host % 2)));
        }
        FleetView fleet = new FleetView(members.get(0));
        fleet.members(members, 0);
        Map<String, Integer> shares = new HashMap<>();
        for (int team = 0; team < 2_000; team++) {
            Set<String> placementKeys = new HashSet<>();
            for (String share : TeamShares.namesOf("team-" + team)) {
                String placementKey = TeamShares.placementKey(share);
                placementKeys.add(placementKey);
                shares.merge(fleet.order(placementKey).get(0).id().name(), 1, Integer::sum);
            }
            assertEquals(TeamShares.COUNT, placementKeys.size());
        }
        assertTrue(shares.size() <= 24, shares.size() + " owners");
        assertTrue(shares.size() >= 18, shares.size() + " owners");
        shares.forEach((host, count) -> assertTrue(count <= 6_000 / 6, host + " owns " + count));
    }

    @Test
    void hostsSpreadTheirRequestsOverTheShares() {
        int[] first = new int[TeamShares.COUNT];
        for (int host = 0; host < 300; host++) {
            first[TeamShares.preferredShare("members", "host-" + host)]++;
        }
        for (int count : first) {
            assertTrue(count > 60, "of 300 hosts " + count);
        }
    }

    /**
     * Guards against a team that is refused altogether while one host is unreachable. Three of ten hosts lose power for
     * 2.5 s every 4 s, and a team sends five eighths of its limit.
     */
    @Test
    void teamIsServedWhileOneOwnerIsUnreachable() {
        owners.addAll(ownersOf(-10 * SECOND));
        Random random = new Random(5);
        int sent = 0;
        int served = 0;
        int multipleUnreachable = 0;
        Set<Integer> unreachable = new HashSet<>();
        long nextChange = 0;
        for (long now = 0; now < 600 * SECOND; now += (long) (SECOND / 10 * -Math.log(1 - random.nextDouble()))) {
            if (now >= nextChange) {
                unreachable.clear();
                for (int index = 0; index < TeamShares.COUNT; index++) {
                    if (random.nextDouble() < 0.3 * 2.5 / 4) {
                        unreachable.add(index);
                    }
                }
                nextChange += 4 * SECOND;
            }
            sent++;
            served += tryAcquire(random.nextInt(TeamShares.COUNT), unreachable, now) ? 1 : 0;
            multipleUnreachable += unreachable.size() >= 2 ? 1 : 0;
        }
        // A single owner for the whole team would refuse everything sent while it is unreachable: a fraction of 0.19.
        double refused = 1 - (double) served / sent;
        double unreachableFraction = (double) multipleUnreachable / sent;
        assertTrue(
                refused <= unreachableFraction,
                refused + " refused, two or more owners unreachable for " + unreachableFraction);
    }

    /** Guards against a limit that is exceeded because it has several owners, each of which may change at any time. */
    @Test
    void limitHoldsOverAllSharesWhileOwnersChange() {
        owners.addAll(ownersOf(-10 * SECOND));
        Random random = new Random(9);
        List<Long> admitted = new ArrayList<>();
        long nextChange = 20 * SECOND;
        for (long now = 0; now < 300 * SECOND; now += SECOND / 200) {
            if (now >= nextChange) {
                int index = random.nextInt(TeamShares.COUNT);
                TeamQuotas next = new TeamQuotas(TeamShares.shareTolerance(TOLERANCE), now);
                next.markFormerOwnerStopped(TeamShares.share(TEAM, index).name(), now);
                owners.set(index, next);
                nextChange = now + (long) (random.nextDouble() * 8 * SECOND);
            }
            if (tryAcquire(random.nextInt(TeamShares.COUNT), Set.of(), now)) {
                admitted.add(now);
            }
        }
        double limit = (TEAM.ratePerSecond() * TOLERANCE.windowSeconds() + TEAM.burst()) * (1 + TOLERANCE.overrun())
                + TOLERANCE.slack();
        int start = 0;
        for (int end = 0; end < admitted.size(); end++) {
            while (admitted.get(end) - admitted.get(start) > TOLERANCE.windowSeconds() * SECOND) {
                start++;
            }
            assertTrue(end - start + 1 <= limit, (end - start + 1) + " in a window, at most " + limit);
        }
    }
}
