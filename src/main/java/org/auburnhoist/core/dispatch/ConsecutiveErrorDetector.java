package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Service;
import org.jspecify.annotations.Nullable;

/** Ejects a server for a fixed time after a number of consecutive failures; the baseline for outlier detection. */
final class ConsecutiveErrorDetector implements OutlierDetector {
    private static final int FAILURE_THRESHOLD = 5;
    private static final long EJECTION_NANOS = 30_000_000_000L;

    private final Map<String, Integer> consecutiveFailures = new HashMap<>();
    private final Map<String, Long> ejectedUntil = new HashMap<>();
    private final List<HealthChange> changes = new ArrayList<>();
    private @Nullable Service service;

    @Override
    public void configure(Service newService, long nowNanos) {
        service = newService;
        ejectedUntil.keySet().removeIf(server -> !EjectionFloor.isActive(newService, server));
        consecutiveFailures.keySet().removeIf(server -> !EjectionFloor.isActive(newService, server));
        while (ejectedUntil.size() > EjectionFloor.maxEjected(newService)) {
            ejectedUntil.remove(ejectedServers().iterator().next());
        }
    }

    @Override
    public void observe(Observation observation, long nowNanos) {
        Service currentService = service;
        if (currentService == null
                || !observation.isEvidence()
                || !EjectionFloor.isActive(currentService, observation.server())) {
            return;
        }
        if (!observation.isFailure()) {
            consecutiveFailures.remove(observation.server());
            return;
        }
        int count = consecutiveFailures.merge(observation.server(), 1, Integer::sum);
        boolean belowLimit = ejectedUntil.size() < EjectionFloor.maxEjected(currentService);
        if (count >= FAILURE_THRESHOLD && belowLimit && !ejectedUntil.containsKey(observation.server())) {
            ejectedUntil.put(observation.server(), nowNanos + EJECTION_NANOS);
            changes.add(new HealthChange(
                    observation.server(),
                    observation.trafficClass(),
                    HealthChange.Kind.EJECTED,
                    count + " consecutive failures"));
        }
    }

    @Override
    public void tick(long nowNanos) {
        ejectedUntil.entrySet().removeIf(entry -> {
            boolean expired = nowNanos - entry.getValue() >= 0;
            if (expired) {
                consecutiveFailures.remove(entry.getKey());
            }
            return expired;
        });
    }

    @Override
    public int slotLimit(String server, TrafficClass trafficClass, long nowNanos) {
        Service currentService = service;
        boolean usable = currentService != null
                && EjectionFloor.isActive(currentService, server)
                && !ejectedUntil.containsKey(server);
        return usable && currentService != null ? currentService.slotsPerServer() : 0;
    }

    @Override
    public boolean avoidsPath(HostId host, String server, TrafficClass trafficClass, long nowNanos) {
        return false;
    }

    @Override
    public Set<String> ejectedServers() {
        return new TreeSet<>(ejectedUntil.keySet());
    }

    @Override
    public List<HealthChange> drainChanges() {
        List<HealthChange> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }
}
