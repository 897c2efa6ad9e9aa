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
 * Selects a server on the requesting host itself when no dispatcher responds, by the power of two random choices and
 * outlier detection from the host's own observations. It does not know the usage of other hosts, so slot limits may be
 * exceeded.
 */
public final class LocalServerSelector {
    private final HostId self;
    private final RandomGenerator random;
    private final OutlierDetector outlierDetector = new CusumOutlierDetector();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private List<Server> servers = List.of();
    private int slotsPerServer;

    /** Creates a selector for one service, without any observations. */
    public LocalServerSelector(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Applies a new configuration of the service. */
    public void configure(Service service, long nowNanos) {
        outlierDetector.configure(service, nowNanos);
        servers = service.servers();
        slotsPerServer = service.slotsPerServer();
    }

    /**
     * Selects a server and counts the attempt, whose end must be reported to {@link #attemptEnded}. Returns empty if
     * each usable server already runs as many of this host's attempts as it has slots.
     */
    public Optional<String> select(SlotRequest request, long nowNanos) {
        List<String> usable = new ArrayList<>();
        for (Server server : servers) {
            int used = inFlight.getOrDefault(server.name(), 0);
            int limit = outlierDetector.slotLimit(server.name(), request.trafficClass(), nowNanos);
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
        String selected = inFlight.getOrDefault(second, 0) < inFlight.getOrDefault(first, 0) ? second : first;
        inFlight.merge(selected, 1, Integer::sum);
        return Optional.of(selected);
    }

    /** Records the end of an attempt that was counted by {@link #select}. */
    public void attemptEnded(Observation observation, long nowNanos) {
        inFlight.computeIfPresent(observation.server(), (server, count) -> count > 1 ? count - 1 : null);
        observe(observation, nowNanos);
    }

    /** Records the end of an attempt that a dispatcher granted to this host. */
    public void observe(Observation observation, long nowNanos) {
        if (observation.host().equals(self)) {
            outlierDetector.observe(observation, nowNanos);
        }
    }

    /** Performs periodic work; to be called several times a second. */
    public void tick(long nowNanos) {
        outlierDetector.tick(nowNanos);
    }

    /** Names of the servers, not leaving, that this host has ejected or put on probation. */
    public Set<String> ejectedServers() {
        return outlierDetector.ejectedServers();
    }

    /** Returns the health changes since the last call, in order. */
    public List<HealthChange> drainHealthChanges() {
        return outlierDetector.drainChanges();
    }
}
