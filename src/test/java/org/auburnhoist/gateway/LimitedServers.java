package org.auburnhoist.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.StatedLimit;

/**
 * Simulated servers that name limits in their answers, and the check that the hosts that they have told keep these.
 *
 * <p>The check is that of the users' platform: from three seconds after a server first named its limit, it gets in any
 * four seconds at most one and a half times what that allows and five requests more, from all hosts that had passed on
 * such an answer half a second before or earlier. A restart or a partition of a host excuses that host.
 */
final class LimitedServers implements SlotFleet.Upstreams {
    private static final long WINDOW_NANOS = 4 * SlotFleet.SECOND;
    private static final long SETTLING_NANOS = 3 * SlotFleet.SECOND;
    private static final long TOLD_NANOS = SlotFleet.SECOND / 2;
    private static final long STEP_NANOS = 50 * SlotFleet.MILLI;
    private static final double TOLERATED_RATIO = 1.5;
    private static final int TOLERATED_EXCESS = 5;
    private static final long DELAY_NANOS = 220 * SlotFleet.MILLI;

    private final Map<String, Server> servers = new HashMap<>();
    private Predicate<String> excused = host -> false;

    private static final class Server {
        /** What the server states, by the time from which it does. */
        final TreeMap<Long, StatedLimit> stated = new TreeMap<>();
        /** The same without malformed headers, which change nothing. */
        final TreeMap<Long, StatedLimit> effective = new TreeMap<>();

        final List<Arrival> arrivals = new ArrayList<>();
        final Map<HostId, Long> toldSince = new HashMap<>();

        StatedLimit stated(long atNanos) {
            Map.Entry<Long, StatedLimit> latest = stated.floorEntry(atNanos);
            return latest == null ? StatedLimit.UNLIMITED : latest.getValue();
        }

        double allowedPerSecond(long atNanos) {
            Map.Entry<Long, StatedLimit> latest = effective.floorEntry(atNanos);
            StatedLimit limit = (latest == null ? effective.firstEntry() : latest).getValue();
            return limit.isLimited() ? limit.requestsPerSecond() : Double.POSITIVE_INFINITY;
        }

        /** Requests tolerated in the window that ends at a time; hosts have half a second to learn of a change. */
        double tolerated(long endNanos) {
            double allowed = 0;
            for (long at = endNanos - WINDOW_NANOS; at < endNanos; at += STEP_NANOS) {
                double perSecond = Math.max(allowedPerSecond(at), allowedPerSecond(at - TOLD_NANOS));
                allowed += perSecond * STEP_NANOS / SlotFleet.SECOND;
            }
            return TOLERATED_RATIO * allowed + TOLERATED_EXCESS;
        }

        /** The largest share of the tolerated requests in any window that ends some time after the first naming. */
        double worstUse(Predicate<Arrival> counted, long afterNanos) {
            List<Long> times =
                    arrivals.stream().filter(counted).map(Arrival::atNanos).toList();
            double worst = 0;
            int first = 0;
            for (int last = 0; last < times.size(); last++) {
                long end = times.get(last);
                while (times.get(first) <= end - WINDOW_NANOS) {
                    first++;
                }
                if (end >= effective.firstKey() + afterNanos) {
                    worst = Math.max(worst, (last - first + 1) / tolerated(end));
                }
            }
            return worst;
        }
    }

    private record Arrival(long atNanos, boolean told, boolean excused) {}

    /** Sets how to tell whether a host is partitioned or was until a short time ago. */
    void excusedHosts(Predicate<String> isExcused) {
        excused = isExcused;
    }

    /** Lets a server state a limit from a time on; {@link StatedLimit#UNKNOWN} stands for a malformed header. */
    void state(String server, double second, StatedLimit limit) {
        Server state = servers.computeIfAbsent(server, id -> new Server());
        long atNanos = (long) (second * SlotFleet.SECOND);
        state.stated.put(atNanos, limit);
        if (limit.kind() != StatedLimit.Kind.UNKNOWN) {
            state.effective.put(atNanos, limit);
        }
    }

    @Override
    public SlotFleet.Reply receive(String server, HostId host, long nowNanos) {
        Server state = servers.computeIfAbsent(server, id -> new Server());
        Long told = state.toldSince.get(host);
        boolean counted = told != null && nowNanos - told >= TOLD_NANOS;
        state.arrivals.add(new Arrival(nowNanos, counted, excused.test(host.name())));
        return new SlotFleet.Reply(
                AttemptOutcome.SUCCESS, DELAY_NANOS, new ServerNotice(false, 0, state.stated(nowNanos)));
    }

    @Override
    public void replied(SlotFleet.Reply reply, String server, HostId host, long nowNanos) {
        if (reply.notice().limit().isLimited()) {
            servers.get(server).toldSince.putIfAbsent(host, nowNanos);
        }
    }

    /** Number of requests a second that all servers together received in a period, in seconds. */
    double arrivalsPerSecond(double from, double until) {
        return servers.values().stream()
                        .flatMap(server -> server.arrivals.stream())
                        .filter(arrival -> arrival.atNanos() > from * SlotFleet.SECOND
                                && arrival.atNanos() <= until * SlotFleet.SECOND)
                        .count()
                / (until - from);
    }

    /** The largest share of the tolerated requests in any window of any server; above 1 breaks the rule. */
    double worstUseByToldHosts() {
        return worstUse(arrival -> arrival.told() && !arrival.excused(), SETTLING_NANOS);
    }

    /** The same with the requests of partitioned hosts. */
    double worstUseByPartitionedAndOtherHosts() {
        return worstUse(Arrival::told, SETTLING_NANOS);
    }

    private double worstUse(Predicate<Arrival> counted, long afterNanos) {
        return servers.values().stream()
                .filter(server -> !server.effective.isEmpty())
                .mapToDouble(server -> server.worstUse(counted, afterNanos))
                .max()
                .orElse(0);
    }
}
