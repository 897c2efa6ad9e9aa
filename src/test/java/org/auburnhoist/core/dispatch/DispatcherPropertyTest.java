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
 * Guards against violations of the ejection floor (I1), of the ban on requests to leaving servers (I9) and of the slot
 * limits under generated outcomes, lost members, configuration changes and time jumps, for every way of selection.
 */
class DispatcherPropertyTest {
    private static final long DEADLINE_MILLIS = 2_000;

    private record HeldGrant(long grantId, String server, HostId host, TrafficClass trafficClass, long expiresNanos) {}

    /** Drives one dispatcher or selector and independently tracks what it may do. */
    private abstract static class Driver {
        final SplittableRandom random = new SplittableRandom(11);
        final Map<String, Boolean> leaving = new HashMap<>();
        final List<HeldGrant> heldGrants = new ArrayList<>();
        int slots = 2;
        String floor = "0.5";
        long now = 1_000_000_000L;

        abstract void request(int choice);

        abstract void release(HeldGrant grant, AttemptOutcome outcome);

        abstract void configure(Service service);

        abstract void memberRemoved(HostId host);

        abstract void tick();

        abstract Set<String> ejectedServers();

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
                case 6, 7, 8, 9, 10, 11 -> endAttempt(choice);
                case 12 -> tick();
                case 13 -> now += choice % 9 == 0 ? choice * 1_000_000_000L : choice * 100_000L;
                case 14 -> {
                    if (choice % 4 == 0) {
                        HostId host = host(choice / 4);
                        memberRemoved(host);
                        heldGrants.removeIf(grant -> grant.host().equals(host));
                    }
                }
                default -> changeConfiguration(choice);
            }
            checkFloor();
        }

        void changeConfiguration(int choice) {
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

        /** Half of the servers fail most requests, so that detectors tend to eject more servers than allowed. */
        void endAttempt(int choice) {
            if (heldGrants.isEmpty()) {
                return;
            }
            HeldGrant grant = heldGrants.remove(choice % heldGrants.size());
            boolean failing = grant.server().charAt(1) % 2 == 0;
            int draw = choice / 7 % 20;
            AttemptOutcome outcome = failing && draw < 17
                    ? AttemptOutcome.values()[1 + draw % 7]
                    : draw == 19 ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS;
            now += 1_000_000L;
            release(grant, outcome);
        }

        void recordGrant(HeldGrant grant) {
            assertEquals(Boolean.FALSE, leaving.get(grant.server()), "granted a leaving or unknown server");
            heldGrants.add(grant);
            long used = heldGrants.stream()
                    .filter(other -> other.server().equals(grant.server()))
                    .count();
            assertTrue(used <= slots, () -> used + " of " + slots + " slots of " + grant.server());
        }

        void checkFloor() {
            long active =
                    leaving.values().stream().filter(isLeaving -> !isLeaving).count();
            int required = new BigDecimal(floor)
                    .multiply(BigDecimal.valueOf(active))
                    .setScale(0, RoundingMode.CEILING)
                    .intValue();
            long inUse = active
                    - ejectedServers().stream()
                            .filter(server -> Boolean.FALSE.equals(leaving.get(server)))
                            .count();
            assertTrue(inUse >= required, () -> inUse + " servers in use, the floor is " + required);
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

    /** Drives a dispatcher and checks that each request is answered exactly once. */
    private static final class DispatcherDriver extends Driver {
        final SlotDispatcher dispatcher;
        final Map<Long, SlotRequest> waitingRequests = new HashMap<>();
        final Map<Long, HostId> requestingHosts = new HashMap<>();
        final Map<Long, Long> deadlines = new HashMap<>();
        long nextToken;

        DispatcherDriver(SlotDispatcher dispatcher) {
            this.dispatcher = dispatcher;
            start();
        }

        @Override
        void request(int choice) {
            long token = nextToken++;
            waitingRequests.put(token, slotRequest(choice));
            requestingHosts.put(token, host(choice / 3));
            deadlines.put(token, now + DEADLINE_MILLIS * 1_000_000L);
            checkDecisions(dispatcher.request(waitingRequests.get(token), requestingHosts.get(token), token, now));
        }

        void checkDecisions(List<SlotDecision> decisions) {
            for (SlotDecision decision : decisions) {
                SlotRequest request = waitingRequests.remove(decision.replyToken());
                assertTrue(request != null, "a request was answered twice");
                HostId host = requestingHosts.get(decision.replyToken());
                if (decision.answer().verdict() == SlotVerdict.GRANTED) {
                    assertTrue(!request.excludedServers()
                            .contains(decision.answer().server()));
                    DispatchSettings settings = DispatchSettings.DEFAULT;
                    long margin = (request.trafficClass() == TrafficClass.DOWNLOAD
                                    ? settings.downloadGrantMargin()
                                    : settings.grantMargin())
                            .toNanos();
                    recordGrant(new HeldGrant(
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
        void release(HeldGrant grant, AttemptOutcome outcome) {
            SlotRelease release = new SlotRelease("svc", grant.grantId(), outcome, 20_000);
            checkDecisions(dispatcher.release(release, host(otherHost(grant)), now));
            checkDecisions(dispatcher.release(release, grant.host(), now));
        }

        /** Number of a host that does not hold the grant; its release must have no effect. */
        private static int otherHost(HeldGrant grant) {
            return grant.host().name().charAt(5) - '0' + 1;
        }

        @Override
        void configure(Service service) {
            checkDecisions(dispatcher.configure(service, Map.of("team-1", 3), now));
        }

        @Override
        void memberRemoved(HostId host) {
            waitingRequests
                    .keySet()
                    .removeIf(token -> requestingHosts.get(token).equals(host));
            heldGrants.removeIf(grant -> grant.host().equals(host));
            checkDecisions(dispatcher.memberRemoved(host, now));
        }

        @Override
        void tick() {
            heldGrants.removeIf(grant -> now >= grant.expiresNanos());
            checkDecisions(dispatcher.tick(now));
            Set<Long> overdue = new HashSet<>(waitingRequests.keySet());
            overdue.removeIf(token -> now < deadlines.get(token));
            assertTrue(overdue.isEmpty(), "a request waits beyond its deadline");
        }

        @Override
        Set<String> ejectedServers() {
            return dispatcher.ejectedServers();
        }
    }

    /** Drives the local selection of a host without a dispatcher. */
    private static final class LocalSelectorDriver extends Driver {
        final HostId self = host(0);
        final LocalServerSelector selector = new LocalServerSelector(self, random.split());

        LocalSelectorDriver() {
            start();
        }

        @Override
        void request(int choice) {
            SlotRequest request = slotRequest(choice);
            selector.select(request, now)
                    .ifPresent(server ->
                            recordGrant(new HeldGrant(0, server, self, request.trafficClass(), Long.MAX_VALUE)));
        }

        @Override
        void release(HeldGrant grant, AttemptOutcome outcome) {
            selector.attemptEnded(
                    new Observation(grant.server(), grant.trafficClass(), self, random.nextLong(), outcome, 20_000),
                    now);
        }

        @Override
        void configure(Service service) {
            selector.configure(service, now);
        }

        @Override
        void memberRemoved(HostId host) {
            while (!heldGrants.isEmpty()) {
                release(heldGrants.remove(0), AttemptOutcome.ABANDONED);
            }
        }

        @Override
        void tick() {
            selector.tick(now);
        }

        @Override
        Set<String> ejectedServers() {
            return selector.ejectedServers();
        }
    }

    private static void run(Driver driver, List<Integer> steps) {
        steps.forEach(driver::step);
    }

    @Property(seed = "31", tries = 400)
    void dispatcherRespectsFloorSlotsAndLeavingServers(
            @ForAll @Size(max = 600) List<@IntRange(max = 15_999) Integer> steps) {
        run(new DispatcherDriver(ServiceDispatcher.create(DispatchSettings.DEFAULT, new SplittableRandom(3))), steps);
    }

    @Property(seed = "32", tries = 400)
    void baselineRespectsFloorSlotsAndLeavingServers(
            @ForAll @Size(max = 600) List<@IntRange(max = 15_999) Integer> steps) {
        run(
                new DispatcherDriver(
                        ServiceDispatcher.createBaseline(DispatchSettings.DEFAULT, new SplittableRandom(3))),
                steps);
    }

    @Property(seed = "33", tries = 400)
    void localSelectorRespectsFloorSlotsAndLeavingServers(
            @ForAll @Size(max = 600) List<@IntRange(max = 15_999) Integer> steps) {
        run(new LocalSelectorDriver(), steps);
    }
}
