package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.DetectionProfile;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;

/**
 * Guards I1, I9 and the exact slots against generated outcomes, lost members, configuration changes and time jumps, for
 * every decider.
 */
class DispatcherPropertyTest {
    private static final long DEADLINE_MILLIS = 2_000;

    private record Held(long grantId, String server, HostId host, TrafficClass trafficClass, long expiresNanos) {}

    /** Drives one decider and keeps an independent account of what it may do. */
    private abstract static class World {
        final SplittableRandom random = new SplittableRandom(11);
        final Map<String, Boolean> leaving = new HashMap<>();
        final List<Held> held = new ArrayList<>();
        int slots = 2;
        String floor = "0.5";
        long now = 1_000_000_000L;

        abstract void request(int choice);

        abstract void release(Held grant, AttemptOutcome outcome);

        abstract void configure(Service service);

        abstract void memberGone(HostId host);

        abstract void tick();

        abstract Set<String> ejected();

        void start() {
            for (int server = 0; server < 8; server++) {
                leaving.put("s" + server, false);
            }
            configure();
        }

        void configure() {
            List<Server> servers = leaving.entrySet().stream()
                    .map(entry -> new Server(entry.getKey(), entry.getKey(), "dc", entry.getValue()))
                    .toList();
            configure(new Service("svc", slots, 300, Double.parseDouble(floor), DetectionProfile.QUICK, servers));
        }

        void step(int code) {
            int choice = code / 16;
            switch (code % 16) {
                case 0, 1, 2, 3, 4, 5 -> request(choice);
                case 6, 7, 8, 9, 10, 11 -> end(choice);
                case 12 -> tick();
                case 13 -> now += choice % 9 == 0 ? choice * 1_000_000_000L : choice * 100_000L;
                case 14 -> {
                    if (choice % 4 == 0) {
                        HostId host = host(choice / 4);
                        memberGone(host);
                        held.removeIf(grant -> grant.host().equals(host));
                    }
                }
                default -> change(choice);
            }
            checkFloor();
        }

        void change(int choice) {
            String server = "s" + choice / 5 % 10;
            switch (choice % 5) {
                case 0 -> leaving.put(server, !leaving.getOrDefault(server, true));
                case 1 -> leaving.remove(server);
                case 2 -> floor = List.of("0", "0.3", "0.5", "0.55", "0.8", "1").get(choice / 5 % 6);
                case 3 -> slots = 1 + choice / 5 % 4;
                default -> leaving.putIfAbsent(server, false);
            }
            configure();
        }

        /** Half of the servers fail nearly always, so that judges have reason to eject more than they may. */
        void end(int choice) {
            if (held.isEmpty()) {
                return;
            }
            Held grant = held.remove(choice % held.size());
            boolean ill = grant.server().charAt(1) % 2 == 0;
            int draw = choice / 7 % 20;
            AttemptOutcome outcome = ill && draw < 17
                    ? AttemptOutcome.values()[1 + draw % 7]
                    : draw == 19 ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS;
            now += 1_000_000L;
            release(grant, outcome);
        }

        void granted(Held grant) {
            assertEquals(Boolean.FALSE, leaving.get(grant.server()), "granted a leaving or unknown server");
            held.add(grant);
            long used = held.stream()
                    .filter(other -> other.server().equals(grant.server()))
                    .count();
            assertTrue(used <= slots, () -> used + " of " + slots + " slots of " + grant.server());
        }

        void checkFloor() {
            long present = leaving.values().stream().filter(gone -> !gone).count();
            int least = new BigDecimal(floor)
                    .multiply(BigDecimal.valueOf(present))
                    .setScale(0, RoundingMode.CEILING)
                    .intValue();
            long inUse = present
                    - ejected().stream()
                            .filter(server -> Boolean.FALSE.equals(leaving.get(server)))
                            .count();
            assertTrue(inUse >= least, () -> inUse + " servers in use, the floor is " + least);
        }

        static HostId host(int choice) {
            return new HostId("host-" + choice % 4, 1);
        }

        SlotRequest slotRequest(int choice) {
            TrafficClass trafficClass = TrafficClass.values()[choice % 3];
            List<String> excluded = choice % 11 == 0 ? List.of("s1") : List.of();
            long fingerprint = choice % 13 == 0 ? 1 : random.nextLong();
            return new SlotRequest(
                    "svc", "route", "team-" + choice % 5, trafficClass, DEADLINE_MILLIS, fingerprint, excluded);
        }
    }

    /** A dispatcher, with the check that each request is answered once. */
    private static final class DispatcherWorld extends World {
        final SlotDispatcher dispatcher;
        final Map<Long, SlotRequest> asked = new HashMap<>();
        final Map<Long, HostId> asking = new HashMap<>();
        final Map<Long, Long> deadlines = new HashMap<>();
        long nextToken;

        DispatcherWorld(SlotDispatcher dispatcher) {
            this.dispatcher = dispatcher;
            start();
        }

        @Override
        void request(int choice) {
            long token = nextToken++;
            asked.put(token, slotRequest(choice));
            asking.put(token, host(choice / 3));
            deadlines.put(token, now + DEADLINE_MILLIS * 1_000_000L);
            take(dispatcher.request(asked.get(token), asking.get(token), token, now));
        }

        void take(List<SlotDecision> decisions) {
            for (SlotDecision decision : decisions) {
                SlotRequest request = asked.remove(decision.replyToken());
                assertTrue(request != null, "a request was answered twice");
                HostId host = asking.get(decision.replyToken());
                if (decision.answer().verdict() == SlotVerdict.GRANTED) {
                    assertTrue(!request.excludedServers()
                            .contains(decision.answer().server()));
                    DispatchSettings settings = DispatchSettings.DEFAULT;
                    long margin = (request.trafficClass() == TrafficClass.DOWNLOAD
                                    ? settings.downloadGrantMargin()
                                    : settings.grantMargin())
                            .toNanos();
                    granted(new Held(
                            decision.answer().grantId(),
                            decision.answer().server(),
                            host,
                            request.trafficClass(),
                            deadlines.get(decision.replyToken()) + margin));
                } else {
                    assertTrue(decision.answer().retryAfterMillis() > 0);
                }
            }
        }

        @Override
        void release(Held grant, AttemptOutcome outcome) {
            SlotRelease release = new SlotRelease("svc", grant.grantId(), outcome, 20_000);
            take(dispatcher.release(release, host(choiceOfOther(grant)), now));
            take(dispatcher.release(release, grant.host(), now));
        }

        /** A host that does not hold the grant; its release must have no effect. */
        private static int choiceOfOther(Held grant) {
            return grant.host().name().charAt(5) - '0' + 1;
        }

        @Override
        void configure(Service service) {
            take(dispatcher.configure(service, Map.of("team-1", 3), now));
        }

        @Override
        void memberGone(HostId host) {
            asked.keySet().removeIf(token -> asking.get(token).equals(host));
            held.removeIf(grant -> grant.host().equals(host));
            take(dispatcher.memberRemoved(host, now));
        }

        @Override
        void tick() {
            held.removeIf(grant -> now >= grant.expiresNanos());
            take(dispatcher.tick(now));
            Set<Long> late = new HashSet<>(asked.keySet());
            late.removeIf(token -> now < deadlines.get(token));
            assertTrue(late.isEmpty(), "a request waits beyond its deadline");
        }

        @Override
        Set<String> ejected() {
            return dispatcher.ejectedServers();
        }
    }

    /** The choice of a host without a dispatcher. */
    private static final class LocalWorld extends World {
        final HostId self = host(0);
        final LocalServerSelector local = new LocalServerSelector(self, random.split());

        LocalWorld() {
            start();
        }

        @Override
        void request(int choice) {
            SlotRequest request = slotRequest(choice);
            local.select(request, now)
                    .ifPresent(server -> granted(new Held(0, server, self, request.trafficClass(), Long.MAX_VALUE)));
        }

        @Override
        void release(Held grant, AttemptOutcome outcome) {
            local.ended(
                    new Observation(grant.server(), grant.trafficClass(), self, random.nextLong(), outcome, 20_000),
                    now);
        }

        @Override
        void configure(Service service) {
            local.configure(service, now);
        }

        @Override
        void memberGone(HostId host) {
            while (!held.isEmpty()) {
                release(held.remove(0), AttemptOutcome.ABANDONED);
            }
        }

        @Override
        void tick() {
            local.tick(now);
        }

        @Override
        Set<String> ejected() {
            return local.ejectedServers();
        }
    }

    private static void run(World world, List<Integer> steps) {
        steps.forEach(world::step);
    }

    @Property(seed = "31", tries = 400)
    void theDispatcherKeepsFloorSlotsAndLeavingServers(
            @ForAll @Size(max = 600) List<@IntRange(max = 15_999) Integer> steps) {
        run(new DispatcherWorld(ServiceDispatcher.create(DispatchSettings.DEFAULT, new SplittableRandom(3))), steps);
    }

    @Property(seed = "32", tries = 400)
    void theBaselineKeepsFloorSlotsAndLeavingServers(
            @ForAll @Size(max = 600) List<@IntRange(max = 15_999) Integer> steps) {
        run(
                new DispatcherWorld(
                        ServiceDispatcher.createBaseline(DispatchSettings.DEFAULT, new SplittableRandom(3))),
                steps);
    }

    @Property(seed = "33", tries = 400)
    void theLocalChoiceKeepsFloorSlotsAndLeavingServers(
            @ForAll @Size(max = 600) List<@IntRange(max = 15_999) Integer> steps) {
        run(new LocalWorld(), steps);
    }
}
