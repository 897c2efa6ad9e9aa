package org.auburnhoist.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.host.ControlScheduler;
import org.auburnhoist.host.HostCalls;
import org.auburnhoist.peer.CallResult;
import org.jspecify.annotations.Nullable;

/** Virtual time and a network of simulated hosts that can be partitioned. */
final class VirtualNetwork {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final long HOP_NANOS = MILLI;
    private static final int FIRST_PORT = 1_000;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Set<String> partitioned = new HashSet<>();
    private final Map<String, Long> partitionEnds = new HashMap<>();
    /** Number of groups of hosts that cannot reach each other. */
    private int groups = 1;

    private long nowNanos;
    private long sequence;

    private record Task(long atNanos, long sequence, LongConsumer work) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** One host; a restart replaces all of its state in memory. */
    abstract class Node implements HostCalls, ControlScheduler {
        final int number;
        final String name;
        final InetSocketAddress address;
        private final Map<HostId, Long> heard = new HashMap<>();
        private int incarnation;
        boolean running;
        HostId id;
        FleetView fleet;

        Node() {
            number = nodes.size();
            name = "host-" + number;
            address = new InetSocketAddress("127.0.0.1", FIRST_PORT + number);
            id = new HostId(name, 0);
            fleet = new FleetView(member());
            nodes.add(this);
        }

        FleetMember member() {
            return new FleetMember(id, "127.0.0.1:" + address.getPort(), "127.0.0.1:1", "a", false, 1);
        }

        final void start() {
            running = true;
            incarnation++;
            id = new HostId(name, incarnation);
            fleet = new FleetView(member());
            heard.clear();
            started();
        }

        /** Creates the state of a new process. */
        abstract void started();

        /** Handles a call of another host. */
        abstract void receive(Message request, HostId from, Consumer<Message> reply);

        /** Kills the process; it restarts a second later. */
        final void kill(Runnable afterRestart) {
            if (!running) {
                return;
            }
            running = false;
            at(nowNanos + SECOND, now -> {
                start();
                afterRestart.run();
            });
        }

        @Override
        public void execute(LongConsumer task) {
            schedule(Duration.ZERO, task);
        }

        @Override
        public void schedule(Duration delay, LongConsumer task) {
            int started = incarnation;
            at(nowNanos + delay.toNanos(), now -> {
                if (running && incarnation == started) {
                    task.accept(now);
                }
            });
        }

        @Override
        public void call(InetSocketAddress target, Message request, Duration timeout, ResultHandler handler) {
            int started = incarnation;
            Node other = nodes.get(target.getPort() - FIRST_PORT);
            if (!canReach(this, other)) {
                schedule(timeout, now -> handler.accept(new CallResult.NoAnswer("silent"), now));
                return;
            }
            at(nowNanos + HOP_NANOS, now -> {
                if (!other.running) {
                    schedule(
                            Duration.ofNanos(HOP_NANOS),
                            later -> handler.accept(new CallResult.NotSent("refused"), later));
                    return;
                }
                other.receive(
                        request,
                        id,
                        answer -> at(nowNanos + HOP_NANOS, later -> {
                            if (running && incarnation == started && canReach(this, other)) {
                                heard.put(other.id, later);
                                handler.accept(new CallResult.Answered(other.id, answer), later);
                            }
                        }));
            });
        }

        @Override
        public @Nullable Long lastAnswerNanos(HostId host) {
            return heard.get(host);
        }
    }

    long nowNanos() {
        return nowNanos;
    }

    boolean canReach(Node one, Node other) {
        boolean sameGroup = one.number % groups == other.number % groups;
        return one == other || (sameGroup && !partitioned.contains(one.name) && !partitioned.contains(other.name));
    }

    void at(long atNanos, LongConsumer work) {
        tasks.add(new Task(atNanos, sequence++, work));
    }

    /** Runs the simulation until a time. */
    void runUntil(double second) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= second * SECOND) {
            Task task = tasks.poll();
            nowNanos = task.atNanos();
            task.work().accept(nowNanos);
        }
    }

    /** Partitions some hosts from all others. */
    void partition(Predicate<Node> affected, double seconds) {
        List<String> names =
                nodes.stream().filter(affected).map(node -> node.name).toList();
        partitioned.addAll(names);
        long endNanos = nowNanos + (long) (seconds * SECOND);
        names.forEach(name -> partitionEnds.merge(name, endNanos, Math::max));
        at(endNanos, now -> names.forEach(partitioned::remove));
    }

    /** Partitions the hosts into groups that cannot reach each other. */
    void splitIntoGroups(int count, double seconds) {
        groups = count;
        at(nowNanos + (long) (seconds * SECOND), now -> groups = 1);
    }

    /** Whether a host is partitioned from all others or was within the last three seconds. */
    boolean isPartitionedOrWasRecently(String name) {
        Long endNanos = partitionEnds.get(name);
        return endNanos != null && nowNanos - endNanos < 3 * SECOND;
    }
}
