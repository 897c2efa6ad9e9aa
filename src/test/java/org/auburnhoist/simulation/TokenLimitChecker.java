package org.auburnhoist.simulation;

import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.configuration.Team;

/** Checks that a team's tokens stay within burst + rate x time in every time window. */
final class TokenLimitChecker {
    private final Map<String, Window> windows = new HashMap<>();
    private final Map<String, Team> limits;
    double maxExcess = Double.NEGATIVE_INFINITY;
    long total;

    TokenLimitChecker(Map<String, Team> limits) {
        this.limits = limits;
    }

    void add(String team, int count, double trueSeconds) {
        Window window = windows.computeIfAbsent(team, name -> new Window());
        Team limit = limits.get(team);
        double refilled = limit.ratePerSecond() * (trueSeconds - window.updatedAt);
        window.used = Math.max(0, window.used - refilled) + count;
        window.updatedAt = trueSeconds;
        maxExcess = Math.max(maxExcess, window.used - limit.burst());
        total += count;
        window.total += count;
    }

    long total(String team) {
        return windows.containsKey(team) ? windows.get(team).total : 0;
    }

    private static final class Window {
        long total;
        double used;
        double updatedAt;
    }
}
