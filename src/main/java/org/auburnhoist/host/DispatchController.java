package org.auburnhoist.host;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.dispatch.DispatchSettings;
import org.auburnhoist.core.dispatch.HealthChange;
import org.auburnhoist.core.dispatch.ServiceDispatcher;
import org.auburnhoist.core.dispatch.SlotDecision;
import org.auburnhoist.core.dispatch.SlotDispatcher;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** Runs the slot dispatchers of this host, one for each service for which a host has requested a slot from it. */
final class DispatchController {
    /** Interval at which the dispatchers check the deadlines of requests and the health of servers. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final Blackboard board;
    private final RandomGenerator random;
    private final Map<String, SlotDispatcher> dispatchers = new HashMap<>();
    private final Map<Long, CompletableFuture<SlotAnswer>> pendingReplies = new HashMap<>();
    private Set<HostId> members = Set.of();
    private long configuredVersion;
    private long nextReplyToken;

    DispatchController(Blackboard board, RandomGenerator random) {
        this.board = board;
        this.random = random;
    }

    /** Queues a request for a slot; completes when the dispatcher has decided. */
    CompletableFuture<SlotAnswer> request(SlotRequest request, HostId requester, long nowNanos) {
        SlotDispatcher dispatcher = dispatcherFor(request.service(), nowNanos);
        CompletableFuture<SlotAnswer> reply = new CompletableFuture<>();
        if (dispatcher == null) {
            reply.complete(new SlotAnswer(SlotVerdict.UNKNOWN_SERVICE, "", 0, 0));
            return reply;
        }
        long token = nextReplyToken++;
        pendingReplies.put(token, reply);
        completeReplies(dispatcher.request(request, requester, token, nowNanos));
        return reply;
    }

    /** Releases a slot and passes the reported outcome to the dispatcher. */
    void release(SlotRelease release, HostId requester, long nowNanos) {
        SlotDispatcher dispatcher = dispatchers.get(release.service());
        if (dispatcher != null) {
            completeReplies(dispatcher.release(release, requester, nowNanos));
        }
    }

    /** Applies the current roster and configuration of the blackboard. */
    void documentsChanged(long nowNanos) {
        if (board.activeConfiguration().version() > configuredVersion) {
            configuredVersion = board.activeConfiguration().version();
            FleetConfiguration configuration = board.activeConfiguration().configuration();
            dispatchers.keySet().retainAll(configuration.services().keySet());
            Map.copyOf(dispatchers).forEach((name, dispatcher) -> configure(dispatcher, name, nowNanos));
        }
        Roster roster = board.roster();
        if (roster != null) {
            Set<HostId> currentMembers = new HashSet<>();
            roster.members().forEach(member -> currentMembers.add(member.id()));
            for (HostId member : members) {
                if (!currentMembers.contains(member)) {
                    List.copyOf(dispatchers.values())
                            .forEach(dispatcher -> completeReplies(dispatcher.memberRemoved(member, nowNanos)));
                }
            }
            members = currentMembers;
        }
    }

    /** Advances every dispatcher to the current time. */
    void tick(long nowNanos) {
        // A decision may cause a request for a slot of another service, which may add a dispatcher to the map.
        for (Map.Entry<String, SlotDispatcher> entry : List.copyOf(dispatchers.entrySet())) {
            completeReplies(entry.getValue().tick(nowNanos));
            entry.getValue().drainHealthChanges().forEach(change -> logHealthChange(entry.getKey(), change));
        }
    }

    /** Names of the servers that the dispatchers of this host have ejected, by service. */
    Map<String, Set<String>> ejectedServers() {
        return dispatchers.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().ejectedServers()));
    }

    private @Nullable SlotDispatcher dispatcherFor(String service, long nowNanos) {
        if (!board.activeConfiguration().configuration().services().containsKey(service)) {
            return null;
        }
        return dispatchers.computeIfAbsent(service, name -> {
            SlotDispatcher created = ServiceDispatcher.create(DispatchSettings.DEFAULT, random);
            configure(created, name, nowNanos);
            return created;
        });
    }

    private void configure(SlotDispatcher dispatcher, String name, long nowNanos) {
        FleetConfiguration configuration = board.activeConfiguration().configuration();
        Service service = configuration.services().get(name);
        if (service != null) {
            Map<String, Integer> weights =
                    configuration.teams().values().stream().collect(Collectors.toMap(Team::name, Team::weight));
            completeReplies(dispatcher.configure(service, weights, nowNanos));
        }
    }

    private void completeReplies(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            CompletableFuture<SlotAnswer> reply = pendingReplies.remove(decision.replyToken());
            if (reply != null) {
                reply.complete(decision.answer());
            }
        }
    }

    private static void logHealthChange(String service, HealthChange change) {
        Event.named("server-health")
                .with("service", service)
                .with("server", change.server())
                .with("class", change.trafficClass())
                .with("change", change.kind())
                .with("reason", change.reason())
                .log();
    }
}
