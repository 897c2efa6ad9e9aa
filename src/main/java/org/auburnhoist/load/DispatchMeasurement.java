package org.auburnhoist.load;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.DetectionProfile;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.load.DispatchResult.Ejection;
import org.auburnhoist.load.DispatchResult.TeamCount;

/**
 * Measures dispatchers on seeded simulated workloads and prints a Markdown table: detection times, false ejections and
 * the worst-served team, for the services of both deployments, both profiles and the baseline.
 */
public final class DispatchMeasurement {
    private static final int TEAMS = 8;
    private static final int SEEDS = 5;
    private static final int HOSTS = 36;
    private static final double FAULT_AT = 20;
    private static final double DETECTION_LIMIT = 60;
    private static final double BACKGROUND_FAILURES = 0.003;
    private static final String FAULTY_SERVER = "server-1";

    /** One service of an example deployment. */
    private record Deployment(String name, int servers, int slots, TrafficClass trafficClass, double serviceMillis) {}

    private static final List<Deployment> DEPLOYMENTS = List.of(
            new Deployment("Starglass catalogue", 9, 6, TrafficClass.LOOKUP, 40),
            new Deployment("Starglass ledger", 15, 6, TrafficClass.BOOKING, 80),
            new Deployment("Starglass archive", 6, 6, TrafficClass.DOWNLOAD, 400),
            new Deployment("Rosewood account inquiry", 10, 2, TrafficClass.LOOKUP, 40),
            new Deployment("Rosewood payments", 18, 2, TrafficClass.BOOKING, 80),
            new Deployment("Rosewood reports", 6, 2, TrafficClass.DOWNLOAD, 400));

    /** The dispatcher under test: a detection profile or the baseline. */
    private enum Decider {
        CAUTIOUS,
        QUICK,
        BASELINE
    }

    private final PrintStream out;

    private DispatchMeasurement(PrintStream out) {
        this.out = out;
    }

    /** Prints the table to the standard output. */
    public static void main(String[] arguments) {
        new DispatchMeasurement(new PrintStream(System.out, true, StandardCharsets.UTF_8)).run();
    }

    private void run() {
        out.println("| service | decider | half failing | a fifth failing | slow tail | flapping "
                + "| false, quiet | false, all slow | worst team | same, without surge |");
        out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (Deployment deployment : DEPLOYMENTS) {
            for (Decider decider : Decider.values()) {
                out.println(row(deployment, decider));
            }
        }
    }

    private static String row(Deployment deployment, Decider decider) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |",
                deployment.name(),
                decider.name().toLowerCase(Locale.ROOT),
                detection(deployment, decider, ServerFault.failing(FAULTY_SERVER, FAULT_AT, 0.5)),
                detection(deployment, decider, ServerFault.failing(FAULTY_SERVER, FAULT_AT, 0.2)),
                detection(deployment, decider, ServerFault.slow(FAULTY_SERVER, FAULT_AT, Double.MAX_VALUE, 0.3, 5)),
                detection(deployment, decider, ServerFault.flapping(FAULTY_SERVER, FAULT_AT, 2)),
                falseEjections(deployment, decider, List.of()),
                falseEjections(deployment, decider, List.of(ServerFault.slow("", FAULT_AT, FAULT_AT + 40, 1, 3))),
                worstTeam(deployment, decider, 5),
                worstTeam(deployment, decider, 1));
    }

    /** Formats the median and maximum time in seconds to the first ejection of the faulty server. */
    private static String detection(Deployment deployment, Decider decider, ServerFault fault) {
        List<Double> times = new ArrayList<>();
        Function<Long, DispatchScenario> scenario = seed -> scenario(
                deployment, decider, rates(deployment, 0.5, 1), List.of(fault), FAULT_AT + DETECTION_LIMIT, seed);
        for (DispatchResult result :
                runs(seed -> new DispatchSimulation(scenario.apply(seed)).runUntilEjected(FAULTY_SERVER, FAULT_AT))) {
            result.ejections().stream()
                    .filter(ejection -> ejection.server().equals(FAULTY_SERVER) && ejection.seconds() >= FAULT_AT)
                    .findFirst()
                    .ifPresent(ejection -> times.add(ejection.seconds() - FAULT_AT));
        }
        if (times.isEmpty()) {
            return "none of " + SEEDS;
        }
        Collections.sort(times);
        String found = times.size() == SEEDS ? "" : " (" + times.size() + " of " + SEEDS + ")";
        return String.format(
                Locale.ROOT, "%.1f / %.1f s%s", times.get(times.size() / 2), times.get(times.size() - 1), found);
    }

    private static String falseEjections(Deployment deployment, Decider decider, List<ServerFault> faults) {
        double seconds = 120;
        List<Ejection> ejections = new ArrayList<>();
        Function<Long, DispatchScenario> scenario =
                seed -> scenario(deployment, decider, rates(deployment, 0.5, 1), faults, seconds, seed);
        for (DispatchResult result : runs(seed -> new DispatchSimulation(scenario.apply(seed)).run())) {
            ejections.addAll(result.ejections());
        }
        double serverHours = SEEDS * deployment.servers() * seconds / 3600;
        return String.format(Locale.ROOT, "%d (%.2f)", ejections.size(), ejections.size() / serverHours);
    }

    /** Formats the minimum goodput over all seeds and the teams that stay within their rate. */
    private static String worstTeam(Deployment deployment, Decider decider, double surge) {
        double worst = 1;
        Function<Long, DispatchScenario> scenario =
                seed -> scenario(deployment, decider, rates(deployment, 0.8, surge), List.of(), 30, seed);
        for (DispatchResult result : runs(seed -> new DispatchSimulation(scenario.apply(seed)).run())) {
            for (var team : result.teams().entrySet()) {
                TeamCount count = team.getValue();
                worst = team.getKey().equals("team-0") ? worst : Math.min(worst, count.goodput());
            }
        }
        return String.format(Locale.ROOT, "%.1f%%", 100 * worst);
    }

    private static List<DispatchResult> runs(LongFunction<DispatchResult> run) {
        return LongStream.rangeClosed(1, SEEDS).parallel().mapToObj(run).toList();
    }

    /** Returns the rates of equal teams that use a share of the slots; the first team sends a multiple of its rate. */
    private static List<Double> rates(Deployment deployment, double utilisation, double surge) {
        double total = deployment.servers() * deployment.slots() / (deployment.serviceMillis() / 1000) * utilisation;
        List<Double> rates = new ArrayList<>(Collections.nCopies(TEAMS, total / TEAMS));
        rates.set(0, total / TEAMS * surge);
        return rates;
    }

    private static DispatchScenario scenario(
            Deployment deployment,
            Decider decider,
            List<Double> rates,
            List<ServerFault> faults,
            double seconds,
            long seed) {
        List<Server> servers = IntStream.rangeClosed(1, deployment.servers())
                .mapToObj(number -> new Server("server-" + number, "127.0.0.1:" + (9000 + number), "one", false))
                .toList();
        DetectionProfile profile = decider == Decider.QUICK ? DetectionProfile.QUICK : DetectionProfile.CAUTIOUS;
        Service service = new Service(deployment.name(), deployment.slots(), 330, 0.5, profile, servers);
        return new DispatchScenario(
                service,
                deployment.trafficClass(),
                decider == Decider.BASELINE,
                HOSTS,
                rates,
                deployment.serviceMillis(),
                BACKGROUND_FAILURES,
                2000,
                faults,
                DispatchScenario.Poison.NONE,
                seconds,
                seed);
    }
}
