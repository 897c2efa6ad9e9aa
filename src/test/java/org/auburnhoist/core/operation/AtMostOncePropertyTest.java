package org.auburnhoist.core.operation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.ClaimVerdict;
import org.auburnhoist.core.message.RecordedResponse;

/**
 * Guards against an operation that runs more than once (invariant I8), when callers repeat it through other hosts,
 * messages are lost, delayed or duplicated, hosts restart, are removed or hand over, and clocks jump.
 */
class AtMostOncePropertyTest {
    private static final RecordedResponse CREATED = new RecordedResponse(201, List.of(), new byte[] {1}, true);

    /** One attempt of a host to claim and run an operation. */
    private static final class ClaimAttempt {
        final String operation;
        final HostId host;
        final long attempt;
        boolean granted;
        boolean closed;

        ClaimAttempt(String operation, HostId host, long attempt) {
            this.operation = operation;
            this.host = host;
            this.attempt = attempt;
        }
    }

    /** Two homes, three claimants, and a network that may lose, delay, reorder and duplicate each message. */
    private static final class Simulation {
        final SplittableRandom random = new SplittableRandom(7);
        final OperationSettings settings = new OperationSettings(Duration.ofHours(1), 4, 3);
        final Map<HostId, OperationHome> homes = new HashMap<>();
        final HostId[] homeIds = new HostId[2];
        final HostId[] claimants = new HostId[3];
        final Set<HostId> handedOver = new HashSet<>();
        final List<ClaimAttempt> claimAttempts = new ArrayList<>();
        final List<String> operations = new ArrayList<>();
        final List<Consumer<Long>> messagesInFlight = new ArrayList<>();
        final Map<String, Integer> executions = new HashMap<>();
        long now = 5_000_000_000L;
        long nextIncarnation;
        long nextAttempt;

        Simulation() {
            for (int index = 0; index < homeIds.length; index++) {
                startHome(index);
            }
            for (int index = 0; index < claimants.length; index++) {
                startClaimant(index);
            }
        }

        void startHome(int index) {
            if (homeIds[index] != null) {
                homes.remove(homeIds[index]);
            }
            homeIds[index] = new HostId("home-" + index, nextIncarnation++);
            homes.put(homeIds[index], new OperationHome(homeIds[index], now, settings, random.split()));
        }

        void startClaimant(int index) {
            HostId stopped = claimants[index];
            claimAttempts.stream()
                    .filter(claimAttempt -> claimAttempt.host.equals(stopped))
                    .forEach(claimAttempt -> claimAttempt.closed = true);
            claimants[index] = new HostId("claimant-" + index, nextIncarnation++);
        }

        /** A caller sends the operation to a host, which claims it at the home or, after a handover, at either home. */
        void send(String operation, int claimant, int home) {
            ClaimAttempt claimAttempt = new ClaimAttempt(operation, claimants[claimant], nextAttempt++);
            claimAttempts.add(claimAttempt);
            claim(claimAttempt, home);
        }

        void claim(ClaimAttempt claimAttempt, int home) {
            HostId target = homeIds[home];
            messagesInFlight.add(time -> {
                OperationHome receiver = homes.get(target);
                if (receiver != null) {
                    ClaimRequest request = new ClaimRequest(claimAttempt.operation, "team", 1, claimAttempt.attempt);
                    ClaimVerdict verdict =
                            receiver.claim(request, claimAttempt.host, time).verdict();
                    messagesInFlight.add(later -> claimAttempt.granted |= verdict == ClaimVerdict.GRANTED);
                }
            });
        }

        void report(ClaimAttempt claimAttempt, ClaimResult result) {
            claimAttempt.closed = true;
            for (HostId target : homeIds) {
                messagesInFlight.add(time -> {
                    OperationHome receiver = homes.get(target);
                    if (receiver != null) {
                        RecordedResponse answer = result == ClaimResult.ANSWERED ? CREATED : null;
                        receiver.recordOutcome(
                                new ClaimOutcome(claimAttempt.operation, claimAttempt.attempt, result, answer),
                                claimAttempt.host,
                                time);
                    }
                });
            }
        }

        void execute(ClaimAttempt claimAttempt, ClaimResult result) {
            if (claimAttempt.granted && !claimAttempt.closed) {
                executions.merge(claimAttempt.operation, 1, Integer::sum);
                report(claimAttempt, result);
            }
        }

        void handOver(int exporter) {
            OperationHome home = homes.get(homeIds[exporter]);
            HostId successor = homeIds[1 - exporter];
            // Two hosts that stop at the same time do not hand over to each other.
            if (handedOver.contains(successor) || !handedOver.add(homeIds[exporter])) {
                return;
            }
            for (byte[] part : home.export(successor, now)) {
                messagesInFlight.add(time -> {
                    OperationHome receiver = homes.get(successor);
                    if (receiver != null) {
                        receiver.importPart(part, time);
                    }
                });
            }
        }

        void step(int code) {
            int choice = code / 20;
            switch (code % 20) {
                case 0, 1 ->
                    operations.add(homes.get(homeIds[choice % 2]).issue(now).encode());
                case 2, 3, 4, 5 -> withOperation(choice, operation -> send(operation, choice % 3, choice / 3 % 2));
                case 6, 7, 8, 9, 10 -> deliver(choice);
                case 11 -> withMessage(choice, messagesInFlight::remove);
                case 12, 13 -> withClaimAttempt(choice, claimAttempt -> execute(claimAttempt, ClaimResult.ANSWERED));
                case 14 -> withClaimAttempt(choice, claimAttempt -> execute(claimAttempt, ClaimResult.UNKNOWN));
                case 15 ->
                    withClaimAttempt(choice, claimAttempt -> {
                        if (!claimAttempt.closed) {
                            report(claimAttempt, ClaimResult.NOT_RUN);
                        }
                    });
                case 16 -> withClaimAttempt(choice, claimAttempt -> claim(claimAttempt, choice % 2));
                case 17 ->
                    now += choice % 8 == 0 ? Duration.ofMinutes(choice % 90).toNanos() : choice % 3 * 1_000_000_000L;
                case 18 -> rareStep(choice);
                default -> homes.values().forEach(home -> home.tick(now));
            }
        }

        /** Issues few operations, so that most steps act on one that is already claimed. */
        void issue(int choice) {
            if (operations.isEmpty() || choice % 3 == 0) {
                operations.add(homes.get(homeIds[choice % 2]).issue(now).encode());
            }
        }

        void rareStep(int choice) {
            switch (choice % 5) {
                case 0 -> startHome(choice / 5 % 2);
                case 1 -> startClaimant(choice / 5 % 3);
                case 2 -> homes.values().forEach(home -> home.memberRemoved(claimants[choice / 5 % 3], now));
                case 3 -> handOver(choice / 5 % 2);
                default -> now -= Duration.ofMinutes(choice % 70).toNanos();
            }
        }

        void deliver(int choice) {
            withMessage(choice, message -> {
                // A third of the messages are duplicated: they stay in flight and are delivered again.
                if (choice % 3 != 0) {
                    messagesInFlight.remove(message);
                }
                message.accept(now);
            });
        }

        void withOperation(int choice, Consumer<String> action) {
            if (!operations.isEmpty()) {
                action.accept(operations.get(recentIndex(choice, operations.size())));
            }
        }

        void withClaimAttempt(int choice, Consumer<ClaimAttempt> action) {
            if (!claimAttempts.isEmpty()) {
                action.accept(claimAttempts.get(recentIndex(choice, claimAttempts.size())));
            }
        }

        void withMessage(int choice, Consumer<Consumer<Long>> action) {
            if (!messagesInFlight.isEmpty()) {
                action.accept(messagesInFlight.get(recentIndex(choice, messagesInFlight.size())));
            }
        }

        /** Returns mostly the index of a recent element, so that the steps act on the same few operations. */
        int recentIndex(int choice, int size) {
            int back = choice % 7 == 0 ? choice % size : choice % Math.min(size, 3);
            return size - 1 - back;
        }
    }

    @Property(seed = "20261204", tries = 3000)
    void anOperationRunsAtMostOnce(@ForAll @Size(max = 300) List<@IntRange(max = 19_999) Integer> steps) {
        Simulation simulation = new Simulation();
        for (int step : steps) {
            simulation.step(step);
            assertTrue(
                    simulation.executions.values().stream().allMatch(count -> count == 1),
                    () -> "an operation ran twice: " + simulation.executions);
        }
    }
}
