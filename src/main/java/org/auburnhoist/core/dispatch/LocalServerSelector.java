package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.message.SlotRequest;

/**
 * Chooses a server on the asking host itself when no dispatcher answers: the less used of two random ones, judged by
 * the host's own observations. It knows nothing of the other hosts' use, so slots are not exact.
 */
public final class LocalServerSelector {
    private final HostId self;
    private final RandomGenerator random;
    private final HealthJudge health = new ServerHealth();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private List<Server> servers = List.of();
    private int slotsPerServer;

    /** Creates a choice for one service, without evidence. */
    public LocalServerSelector(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Takes over a new configuration of the service. */
    public void configure(Service service, long nowNanos) {
        health.configure(service, nowNanos);
        servers = service.servers();
        slotsPerServer = service.slotsPerServer();
    }

    /**
     * Chooses a server and counts the attempt, which must end with {@link #ended}. Empty if each usable server already
     * runs as many of this host's attempts as it has slots.
     */
    public Optional<String> select(SlotRequest request, long nowNanos) {
        List<String> usable = new ArrayList<>();
        for (Server server : servers) {
            int used = inFlight.getOrDefault(server.name(), 0);
            int limit = health.slotLimit(server.name(), request.trafficClass(), nowNanos);
            if (!server.leaving()
                    && used < Math.min(limit, slotsPerServer)
                    && !request.excludedServers().contains(server.name())) {
                usable.add(server.name());
            }
        }
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        String first = usable.get(random.nextInt(usable.size()));
        String second = usable.get(random.nextInt(usable.size()));
        String chosen = inFlight.getOrDefault(second, 0) < inFlight.getOrDefault(first, 0) ? second : first;
        inFlight.merge(chosen, 1, Integer::sum);
        return Optional.of(chosen);
    }

    /** Takes in the end of an attempt that {@link #select} started. */
    public void ended(Observation observation, long nowNanos) {
        inFlight.computeIfPresent(observation.server(), (server, count) -> count > 1 ? count - 1 : null);
        observe(observation, nowNanos);
    }

    /** Takes in the end of an attempt that a dispatcher had granted to this host. */
    public void observe(Observation observation, long nowNanos) {
        if (observation.host().equals(self)) {
            health.observe(observation, nowNanos);
        }
    }

    /** Lets time pass; to be called several times a second. */
    public void tick(long nowNanos) {
        health.tick(nowNanos);
    }

    /** Names of servers, not leaving, that this host keeps out of normal use. */
    public Set<String> ejectedServers() {
        return health.ejected();
    }

    /** Returns the changes of judgement since the last call, in order. */
    public List<HealthChange> drainHealthChanges() {
        return health.drainChanges();
    }
}
