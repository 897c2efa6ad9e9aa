package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.auburnhoist.core.Refusal;

/** Statistics of the attempts and requests of one team. Not thread-safe. */
final class TeamLog {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Refusals that count against the fleet if the team is within its rate. */
    private static final Set<String> CAPACITY_REFUSALS =
            Set.of(Refusal.RATE_EXCEEDED.code(), Refusal.SERVICE_OVERLOADED.code(), Refusal.REQUEST_QUARANTINED.code());

    private final TeamLoad team;
    private final Map<String, Long> refusedAttempts = new TreeMap<>();
    private final Map<String, Long> refusedRequests = new TreeMap<>();
    private final List<OverRate.Admitted> admitted = new ArrayList<>();
    private final long[] offeredBySecond;
    private final long[] goodBySecond;
    private final long[] refusedBySecond;
    private final List<Long> countedSentNanos = new ArrayList<>();
    private long passedAttempts;
    private long waited;
    private long good;
    private long offered;

    TeamLog(TeamLoad team, int seconds) {
        this.team = team;
        this.offeredBySecond = new long[seconds];
        this.goodBySecond = new long[seconds];
        this.refusedBySecond = new long[seconds];
    }

    void attempt(long sentNanos, long endedNanos, AttemptResult result, String refusal, boolean firstRun) {
        if (result == AttemptResult.REFUSED) {
            refusedAttempts.merge(refusal, 1L, Long::sum);
        }
        boolean refusedForCapacity = CAPACITY_REFUSALS.contains(refusal);
        if (result == AttemptResult.ANSWERED || refusedForCapacity) {
            countedSentNanos.add(sentNanos);
            passedAttempts += refusedForCapacity ? 0 : 1;
        }
        if (result == AttemptResult.ANSWERED && firstRun) {
            admitted.add(new OverRate.Admitted(sentNanos, endedNanos));
        }
    }

    void offered(int second) {
        offered++;
        offeredBySecond[second]++;
    }

    void ended(int second, RequestResult result) {
        waited += result.waited() ? 1 : 0;
        if (result.ending() == RequestResult.Ending.GOOD) {
            good++;
            goodBySecond[second]++;
        } else if (result.ending() == RequestResult.Ending.REFUSED) {
            refusedRequests.merge(result.refusal(), 1L, Long::sum);
            refusedBySecond[second]++;
        }
    }

    TeamLoad team() {
        return team;
    }

    long offered() {
        return offered;
    }

    long good() {
        return good;
    }

    long waited() {
        return waited;
    }

    Map<String, Long> refusedRequests() {
        return refusedRequests;
    }

    Map<String, Long> refusedAttempts() {
        return refusedAttempts;
    }

    long[] offeredBySecond() {
        return offeredBySecond;
    }

    long[] goodBySecond() {
        return goodBySecond;
    }

    long[] refusedBySecond() {
        return refusedBySecond;
    }

    /** Returns the number of attempts that a single bucket for all attempts of the team would admit. */
    long withinRate() {
        List<Long> inOrder = new ArrayList<>(countedSentNanos);
        inOrder.sort(null);
        double level = team.burst();
        long before = inOrder.isEmpty() ? 0 : inOrder.get(0);
        long within = 0;
        for (long sentNanos : inOrder) {
            level = Math.min(team.burst(), level + (sentNanos - before) * team.limitPerSecond() / NANOS_PER_SECOND);
            before = sentNanos;
            if (level >= 1) {
                level--;
                within++;
            }
        }
        return within;
    }

    /** Returns how many fewer attempts the fleet let through than a single bucket would have. */
    long shortfall() {
        return Math.max(0, withinRate() - passedAttempts);
    }

    long overRate() {
        return OverRate.excess(admitted, team.limitPerSecond(), team.burst());
    }
}
