package org.auburnhoist.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Start-time fair queueing over the teams of one traffic class. */
final class StartTimeFairQueue {
    /** A team's waiting requests and the virtual start time of the first one. */
    private static final class TeamQueue {
        final Deque<WaitingRequest> waiting = new ArrayDeque<>();
        double virtualStart;
    }

    private final Map<String, TeamQueue> teams = new HashMap<>();
    private final Map<String, Double> lastVirtualFinish = new HashMap<>();
    private double virtualTime;
    private int size;

    int size() {
        return size;
    }

    void add(WaitingRequest waiting) {
        String team = waiting.request().team();
        TeamQueue queue = teams.computeIfAbsent(team, name -> {
            TeamQueue created = new TeamQueue();
            created.virtualStart = Math.max(virtualTime, lastVirtualFinish.getOrDefault(name, 0.0));
            return created;
        });
        queue.waiting.addLast(waiting);
        size++;
    }

    @Nullable
    WaitingRequest poll(Map<String, Integer> weights, Predicate<WaitingRequest> grantable) {
        List<Map.Entry<String, TeamQueue>> order = new ArrayList<>(teams.entrySet());
        order.sort(Comparator.comparingDouble((Map.Entry<String, TeamQueue> entry) -> entry.getValue().virtualStart)
                .thenComparing(Map.Entry::getKey));
        for (Map.Entry<String, TeamQueue> entry : order) {
            WaitingRequest first = entry.getValue().waiting.getFirst();
            if (grantable.test(first)) {
                removeFirst(entry.getKey(), entry.getValue(), weight(weights, entry.getKey()));
                return first;
            }
        }
        return null;
    }

    private void removeFirst(String team, TeamQueue queue, int weight) {
        queue.waiting.removeFirst();
        size--;
        virtualTime = Math.max(virtualTime, queue.virtualStart);
        queue.virtualStart += 1.0 / weight;
        lastVirtualFinish.put(team, queue.virtualStart);
        removeIfEmpty(team, queue);
        // A virtual finish time in the past does not delay the team's next request.
        lastVirtualFinish.values().removeIf(finish -> finish <= virtualTime);
    }

    private void removeIfEmpty(String team, TeamQueue queue) {
        if (queue.waiting.isEmpty()) {
            teams.remove(team);
        }
    }

    int countAhead(Map<String, Integer> weights, String team) {
        TeamQueue own = teams.get(team);
        int ownCount = own == null ? 0 : own.waiting.size();
        double rounds = (ownCount + 1.0) / weight(weights, team);
        int ahead = ownCount;
        for (Map.Entry<String, TeamQueue> entry : teams.entrySet()) {
            if (!entry.getKey().equals(team)) {
                double turns = Math.ceil(rounds * weight(weights, entry.getKey()));
                ahead += (int) Math.min(entry.getValue().waiting.size(), turns);
            }
        }
        return ahead;
    }

    /** Removes the last request of the team with the highest ratio of waiting requests to weight. */
    @Nullable
    WaitingRequest removeLastOfLongest(Map<String, Integer> weights) {
        String longest = null;
        double most = -1;
        for (Map.Entry<String, TeamQueue> entry : teams.entrySet()) {
            double length = (double) entry.getValue().waiting.size() / weight(weights, entry.getKey());
            if (length > most) {
                most = length;
                longest = entry.getKey();
            }
        }
        TeamQueue queue = longest == null ? null : teams.get(longest);
        if (queue == null || longest == null) {
            return null;
        }
        WaitingRequest removed = queue.waiting.removeLast();
        size--;
        removeIfEmpty(longest, queue);
        return removed;
    }

    void removeIf(Predicate<WaitingRequest> condition, List<WaitingRequest> removed) {
        for (Iterator<TeamQueue> queues = teams.values().iterator(); queues.hasNext(); ) {
            TeamQueue queue = queues.next();
            queue.waiting.removeIf(waiting -> {
                boolean match = condition.test(waiting);
                if (match) {
                    removed.add(waiting);
                    size--;
                }
                return match;
            });
            if (queue.waiting.isEmpty()) {
                queues.remove();
            }
        }
    }

    void removeFromTails(Predicate<WaitingRequest> condition, List<WaitingRequest> removed) {
        for (String team : List.copyOf(teams.keySet())) {
            TeamQueue queue = teams.get(team);
            while (queue != null && !queue.waiting.isEmpty() && condition.test(queue.waiting.getLast())) {
                removed.add(queue.waiting.removeLast());
                size--;
                removeIfEmpty(team, queue);
            }
        }
    }

    private static int weight(Map<String, Integer> weights, String team) {
        return Math.max(1, weights.getOrDefault(team, 1));
    }
}
