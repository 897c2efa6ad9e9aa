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
import org.auburnhoist.core.message.RecordedAnswer;

/**
 * Guards invariant I8 against resends through other hosts, lost, late and doubled messages, restarts, removals,
 * handovers and time jumps.
 */
class AtMostOncePropertyTest {
    private static final RecordedAnswer CREATED = new RecordedAnswer(201, List.of(), new byte[] {1}, true);

    /** One attempt of an asking host to run an operation. */
    private static final class Run {
        final String operation;
        final HostId host;
        final long attempt;
        boolean granted;
        boolean closed;

        Run(String operation, HostId host, long attempt) {
            this.operation = operation;
            this.host = host;
            this.attempt = attempt;
        }
    }

    /** Two homes, three asking hosts, and a network that may lose, delay, reorder and repeat each message. */
    private static final class World {
        final SplittableRandom random = new SplittableRandom(7);
        final OperationSettings settings = new OperationSettings(Duration.ofHours(1), 4, 3);
        final Map<HostId, OperationHome> homes = new HashMap<>();
        final HostId[] homeIds = new HostId[2];
        final HostId[] askers = new HostId[3];
        final Set<HostId> handedOver = new HashSet<>();
        final List<Run> runs = new ArrayList<>();
        final List<String> operations = new ArrayList<>();
        final List<Consumer<Long>> network = new ArrayList<>();
        final Map<String, Integer> executions = new HashMap<>();
        long now = 5_000_000_000L;
        long incarnations;
        long attempts;

        World() {
            for (int index = 0; index < homeIds.length; index++) {
                startHome(index);
            }
            for (int index = 0; index < askers.length; index++) {
                startAsker(index);
            }
        }

        void startHome(int index) {
            if (homeIds[index] != null) {
                homes.remove(homeIds[index]);
            }
            homeIds[index] = new HostId("home-" + index, incarnations++);
            homes.put(homeIds[index], new OperationHome(homeIds[index], now, settings, random.split()));
        }

        void startAsker(int index) {
            HostId gone = askers[index];
            runs.stream().filter(run -> run.host.equals(gone)).forEach(run -> run.closed = true);
            askers[index] = new HostId("asker-" + index, incarnations++);
        }

        /** The caller sends the operation to some host, which asks the home or, after a handover, any home. */
        void send(String operation, int asker, int home) {
            Run run = new Run(operation, askers[asker], attempts++);
            runs.add(run);
            claim(run, home);
        }

        void claim(Run run, int home) {
            HostId target = homeIds[home];
            network.add(time -> {
                OperationHome known = homes.get(target);
                if (known != null) {
                    ClaimRequest request = new ClaimRequest(run.operation, "team", 1, run.attempt);
                    ClaimVerdict verdict = known.claim(request, run.host, time).verdict();
                    network.add(later -> run.granted |= verdict == ClaimVerdict.GRANTED);
                }
            });
        }

        void report(Run run, ClaimResult result) {
            run.closed = true;
            for (HostId target : homeIds) {
                network.add(time -> {
                    OperationHome known = homes.get(target);
                    if (known != null) {
                        RecordedAnswer answer = result == ClaimResult.ANSWERED ? CREATED : null;
                        known.recordOutcome(
                                new ClaimOutcome(run.operation, run.attempt, result, answer), run.host, time);
                    }
                });
            }
        }

        void execute(Run run, ClaimResult result) {
            if (run.granted && !run.closed) {
                executions.merge(run.operation, 1, Integer::sum);
                report(run, result);
            }
        }

        void handOver(int from) {
            OperationHome home = homes.get(homeIds[from]);
            HostId successor = homeIds[1 - from];
            // Two hosts that stop at the same time do not hand over to each other.
            if (handedOver.contains(successor) || !handedOver.add(homeIds[from])) {
                return;
            }
            for (byte[] part : home.export(successor, now)) {
                network.add(time -> {
                    OperationHome next = homes.get(successor);
                    if (next != null) {
                        next.importPart(part, time);
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
                case 11 -> withMessage(choice, network::remove);
                case 12, 13 -> withRun(choice, run -> execute(run, ClaimResult.ANSWERED));
                case 14 -> withRun(choice, run -> execute(run, ClaimResult.UNKNOWN));
                case 15 ->
                    withRun(choice, run -> {
                        if (!run.closed) {
                            report(run, ClaimResult.NOT_RUN);
                        }
                    });
                case 16 -> withRun(choice, run -> claim(run, choice % 2));
                case 17 ->
                    now += choice % 8 == 0 ? Duration.ofMinutes(choice % 90).toNanos() : choice % 3 * 1_000_000_000L;
                case 18 -> rareStep(choice);
                default -> homes.values().forEach(home -> home.tick(now));
            }
        }

        /** Few operations, so that most steps act on one that has already been claimed. */
        void issue(int choice) {
            if (operations.isEmpty() || choice % 3 == 0) {
                operations.add(homes.get(homeIds[choice % 2]).issue(now).encode());
            }
        }

        void rareStep(int choice) {
            switch (choice % 5) {
                case 0 -> startHome(choice / 5 % 2);
                case 1 -> startAsker(choice / 5 % 3);
                case 2 -> homes.values().forEach(home -> home.memberRemoved(askers[choice / 5 % 3], now));
                case 3 -> handOver(choice / 5 % 2);
                default -> now -= Duration.ofMinutes(choice % 70).toNanos();
            }
        }

        void deliver(int choice) {
            withMessage(choice, message -> {
                // One message in three stays in the network and arrives again.
                if (choice % 3 != 0) {
                    network.remove(message);
                }
                message.accept(now);
            });
        }

        void withOperation(int choice, Consumer<String> action) {
            if (!operations.isEmpty()) {
                action.accept(operations.get(recent(choice, operations.size())));
            }
        }

        void withRun(int choice, Consumer<Run> action) {
            if (!runs.isEmpty()) {
                action.accept(runs.get(recent(choice, runs.size())));
            }
        }

        void withMessage(int choice, Consumer<Consumer<Long>> action) {
            if (!network.isEmpty()) {
                action.accept(network.get(recent(choice, network.size())));
            }
        }

        /** Mostly one of the newest elements, so that steps act on the same few operations. */
        int recent(int choice, int size) {
            int back = choice % 7 == 0 ? choice % size : choice % Math.min(size, 3);
            return size - 1 - back;
        }
    }

    @Property(seed = "20261204", tries = 3000)
    void anOperationRunsAtMostOnce(@ForAll @Size(max = 300) List<@IntRange(max = 19_999) Integer> steps) {
        World world = new World();
        for (int step : steps) {
            world.step(step);
            assertTrue(
                    world.executions.values().stream().allMatch(count -> count == 1),
                    () -> "an operation ran twice: " + world.executions);
        }
    }
}
