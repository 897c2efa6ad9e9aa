package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.DetectionProfile;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.RouteTable;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.dispatch.DispatchSettings;
import org.auburnhoist.core.dispatch.ServiceDispatcher;
import org.auburnhoist.core.dispatch.SlotDecision;
import org.auburnhoist.core.dispatch.SlotDispatcher;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.operation.OperationHome;
import org.auburnhoist.core.operation.OperationSettings;

/** Measures the costs that depend on the numbers of routes, servers and remembered operations. */
final class WorkCosts {
    private static final int[] ROUTES = {10, 100, 1_000, 3_900};
    private static final int[] SERVERS = {3, 9, 27, 80, 200};
    private static final int[][] FLEETS = {{30, 3}, {1_000, 40}, {4_000, 150}, {13_000, 480}};
    private static final int[] OPERATIONS = {2_000, 10_000, 25_000, 50_000};
    private static final int REQUESTS_PER_SERVER = 10;
    private static final int ANSWER_BYTES = 300;
    private static final long NOW = 1_000_000_000_000L;
    private static final HostId ASKING = new HostId("entry-0007", 7);

    void run() {
        CostSeries.printHeading("Costs by routes and servers");
        measureRoutes();
        measureDispatchers();
        measureFleets();
    }

    private static void measureRoutes() {
        CostSeries time = new CostSeries("RouteTable.match", "routes", "us");
        CostSeries heap = new CostSeries("RouteTable", "routes", "bytes of heap");
        for (int pass = 0; pass < 2; pass++) {
            for (int routes : ROUTES) {
                FleetConfiguration declared = TeamCosts.read(SyntheticFleet.files(10, routes, 6, 60, 1));
                RouteTable table = RouteTable.of(declared.routes());
                String[] paths = new String[routes];
                for (int route = 0; route < routes; route++) {
                    paths[route] = SyntheticFleet.path(route) + "/balance/2026";
                }
                time.add(
                        routes,
                        CostMeter.micros(call -> table.match("GET", paths[(int) (call * 7919 % paths.length)])));
                heap.add(routes, CostMeter.bytesEach(1 + 10_000 / routes, copy -> RouteTable.of(declared.routes())));
            }
        }
        time.print();
        heap.print();
    }

    private static Service service(String name, int servers) {
        List<Server> list = new ArrayList<>();
        for (int server = 0; server < servers; server++) {
            list.add(new Server(name + "-" + server, "10.9.8.7:9000", SyntheticFleet.dataCentre(server), false));
        }
        return new Service(name, 6, 330, 0.7, DetectionProfile.CAUTIOUS, list);
    }

    private static SlotDispatcher dispatcher(String name, int servers) {
        SlotDispatcher dispatcher = ServiceDispatcher.create(DispatchSettings.DEFAULT, new SplittableRandom(servers));
        dispatcher.configure(service(name, servers), Map.of(), NOW);
        return dispatcher;
    }

    private static void measureDispatchers() {
        CostSeries time = new CostSeries("SlotDispatcher request and release, half of the slots used", "servers", "us");
        CostSeries tick = new CostSeries("SlotDispatcher.tick, half of the slots used", "servers", "us");
        CostSeries heap = new CostSeries(
                "SlotDispatcher after " + REQUESTS_PER_SERVER + " requests a server", "servers", "bytes of heap");
        for (int pass = 0; pass < 2; pass++) {
            for (int servers : SERVERS) {
                SlotDispatcher dispatcher = dispatcher("ledger", servers);
                for (int slot = 0; slot < 3 * servers; slot++) {
                    dispatcher.request(request("ledger", slot), ASKING, slot, NOW);
                }
                time.add(servers, CostMeter.micros(call -> exchange(dispatcher, "ledger", 1_000_000 + call)));
                tick.add(servers, CostMeter.micros(call -> dispatcher.tick(NOW + call)));
                heap.add(servers, CostMeter.bytesEach(2 + 200 / servers, copy -> usedDispatcher("ledger", servers)));
            }
        }
        time.print();
        tick.print();
        heap.print();
    }

    private static SlotDispatcher usedDispatcher(String name, int servers) {
        SlotDispatcher dispatcher = dispatcher(name, servers);
        for (int call = 0; call < REQUESTS_PER_SERVER * servers; call++) {
            exchange(dispatcher, name, call);
        }
        return dispatcher;
    }

    private static SlotRequest request(String service, long number) {
        String team = SyntheticFleet.team((int) (number % 200));
        return new SlotRequest(service, "route-17", team, TrafficClass.LOOKUP, 3_000, number, List.of());
    }

    private static void exchange(SlotDispatcher dispatcher, String service, long number) {
        long now = NOW + number * 1_000;
        for (SlotDecision decision : dispatcher.request(request(service, number), ASKING, number, now)) {
            long grant = decision.answer().grantId();
            if (grant != 0) {
                dispatcher.release(new SlotRelease(service, grant, AttemptOutcome.SUCCESS, 20_000), ASKING, now);
            }
        }
    }

    private static void measureFleets() {
        CostSeries heap = new CostSeries("dispatchers of all services", "servers", "bytes of heap");
        for (int[] fleet : FLEETS) {
            heap.add(fleet[0], CostMeter.bytes(() -> {
                List<SlotDispatcher> all = new ArrayList<>();
                for (int service = 0; service < fleet[1]; service++) {
                    all.add(usedDispatcher("service-" + service, fleet[0] / fleet[1]));
                }
                return all;
            }));
        }
        heap.print();
    }

    /** Measures the records that the home of an operation keeps. */
    void runOperations() {
        CostSeries.printHeading("Costs by remembered operations");
        CostSeries plain = new CostSeries("OperationHome, answers not kept", "operations", "bytes of heap");
        CostSeries kept =
                new CostSeries("OperationHome, answers of " + ANSWER_BYTES + " bytes", "operations", "bytes of heap");
        CostSeries time = new CostSeries("claim and outcome", "operations", "us");
        for (int pass = 0; pass < 2; pass++) {
            for (int operations : OPERATIONS) {
                plain.add(operations, CostMeter.bytes(() -> home(operations, 0)));
                kept.add(operations, CostMeter.bytes(() -> home(operations, ANSWER_BYTES)));
                OperationHome home = home(operations, 0);
                time.add(operations, CostMeter.micros(call -> operate(home, call, 0)));
            }
        }
        plain.print();
        kept.print();
        time.print();
    }

    private static OperationHome home(int operations, int answerBytes) {
        OperationHome home =
                new OperationHome(ASKING, NOW, OperationSettings.DEFAULT, new SplittableRandom(operations));
        for (int number = 0; number < operations; number++) {
            operate(home, number, answerBytes);
        }
        return home;
    }

    private static void operate(OperationHome home, long number, int answerBytes) {
        String id = home.issue(NOW).encode();
        home.claim(new ClaimRequest(id, SyntheticFleet.team((int) (number % 200)), number, number), ASKING, NOW);
        RecordedResponse answer = answerBytes == 0
                ? new RecordedResponse(201, List.of(), new byte[0], false)
                : new RecordedResponse(201, CapacityMeasurement.HEADERS, new byte[answerBytes], true);
        home.recordOutcome(new ClaimOutcome(id, number, ClaimResult.ANSWERED, answer), ASKING, NOW);
    }
}
