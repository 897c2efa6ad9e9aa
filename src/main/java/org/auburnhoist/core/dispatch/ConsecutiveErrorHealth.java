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

/** Ejects a server after a number of failures in a row, for a fixed time; the baseline of the judgement. */
final class ConsecutiveErrorHealth implements HealthJudge {
    private static final int FAILURES = 5;
    private static final long EJECTED_NANOS = 30_000_000_000L;

    private final Map<String, Integer> failuresInRow = new HashMap<>();
    private final Map<String, Long> ejectedUntil = new HashMap<>();
    private final List<HealthChange> changes = new ArrayList<>();
    private @Nullable Service service;

    @Override
    public void configure(Service newService, long nowNanos) {
        service = newService;
        ejectedUntil.keySet().removeIf(server -> !EjectionFloor.isPresent(newService, server));
        failuresInRow.keySet().removeIf(server -> !EjectionFloor.isPresent(newService, server));
        while (ejectedUntil.size() > EjectionFloor.mostEjected(newService)) {
            ejectedUntil.remove(ejected().iterator().next());
        }
    }

    @Override
    public void observe(Observation observation, long nowNanos) {
        Service known = service;
        if (known == null || !observation.isEvidence() || !EjectionFloor.isPresent(known, observation.server())) {
            return;
        }
        if (!observation.isFailure()) {
            failuresInRow.remove(observation.server());
            return;
        }
        int count = failuresInRow.merge(observation.server(), 1, Integer::sum);
        boolean room = ejectedUntil.size() < EjectionFloor.mostEjected(known);
        if (count >= FAILURES && room && !ejectedUntil.containsKey(observation.server())) {
            ejectedUntil.put(observation.server(), nowNanos + EJECTED_NANOS);
            changes.add(new HealthChange(
                    observation.server(),
                    observation.trafficClass(),
                    HealthChange.Kind.EJECTED,
                    count + " failures in a row"));
        }
    }

    @Override
    public void tick(long nowNanos) {
        ejectedUntil.entrySet().removeIf(entry -> {
            boolean over = nowNanos - entry.getValue() >= 0;
            if (over) {
                failuresInRow.remove(entry.getKey());
            }
            return over;
        });
    }

    @Override
    public int slotLimit(String server, TrafficClass trafficClass, long nowNanos) {
        Service known = service;
        boolean usable = known != null && EjectionFloor.isPresent(known, server) && !ejectedUntil.containsKey(server);
        return usable && known != null ? known.slotsPerServer() : 0;
    }

    @Override
    public boolean avoids(HostId host, String server, TrafficClass trafficClass, long nowNanos) {
        return false;
    }

    @Override
    public Set<String> ejected() {
        return new TreeSet<>(ejectedUntil.keySet());
    }

    @Override
    public List<HealthChange> drainChanges() {
        List<HealthChange> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }
}
