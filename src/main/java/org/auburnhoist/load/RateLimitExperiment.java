package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.limit.FixedShareLimiter;
import org.auburnhoist.core.limit.LimitSettings;
import org.auburnhoist.core.limit.OwnershipPeriod;
import org.auburnhoist.core.limit.RateLimiter;
import org.auburnhoist.core.limit.ShardView;
import org.auburnhoist.core.limit.TokenBuckets;
import org.auburnhoist.core.limit.TokenDecision;
import org.auburnhoist.core.limit.TokenReserves;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;

/**
 * Counts the requests within a team's rate that each rate limiter refuses, in simulated time without faults.
 *
 * <p>A request is within the rate if a single token bucket for the whole load of the team would admit it. Each request
 * goes to a random host. Arguments: seed, simulated seconds.
 */
public final class RateLimitExperiment {
    private static final int HOSTS = 40;
    private static final double SURGE = 5;
    private static final double QUIET_LOAD = 0.7;
    private static final double ONE_WAY_SECONDS = 0.0015;
    private static final String SURGING_TEAM = "team-3";
    private static final List<Team> TEAMS = List.of(
            new Team("team-1", 120, 240, 1),
            new Team("team-2", 90, 180, 1),
            new Team("team-3", 60, 120, 1),
            new Team("team-4", 40, 80, 1),
            new Team("team-5", 20, 40, 1),
            new Team("team-6", 8, 16, 1),
            new Team("team-7", 4, 8, 1),
            new Team("team-8", 0.5, 3, 1));
    private static final Map<String, Team> BY_NAME =
            TEAMS.stream().collect(Collectors.toUnmodifiableMap(Team::name, Function.identity()));

    private final List<RateLimiter> limiters = new ArrayList<>();
    private final List<TokenBuckets> owners = new ArrayList<>();
    private final Roster roster;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingDouble(Step::at).thenComparingLong(Step::order));
    private double nextReturns;
    private long order;

    private RateLimitExperiment(Function<Setup, RateLimiter> factory) {
        roster = fleet();
        for (Member member : roster.members()) {
            RateLimiter limiter = factory.apply(new Setup(member.id(), roster));
            limiter.configure(BY_NAME, 0);
            limiters.add(limiter);
            TokenBuckets buckets = new TokenBuckets(new AlwaysOwner(roster), LimitSettings.STANDARD);
            buckets.configure(BY_NAME, 0);
            owners.add(buckets);
        }
    }

    /** Runs the experiment and prints a table for each load. */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 7;
        int seconds = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 300;
        print("quiet: each team at 0.7 of its rate", requests(seed, seconds, 1));
        print("surge: " + SURGING_TEAM + " at 5 times its rate, the others at 0.7", requests(seed, seconds, SURGE));
    }

    private static void print(String title, List<Request> requests) {
        boolean[] ideal = runIdeal(requests);
        boolean[] fixed =
                run(requests, setup -> new FixedShareLimiter(setup.self(), LimitSettings.STANDARD, setup.roster()));
        boolean[] reserves =
                run(requests, setup -> new TokenReserves(setup.self(), LimitSettings.STANDARD, setup.roster()));
        System.out.println(title);
        System.out.println("| team | rate/s | burst | offered | one bucket admits | fixed shares admit |"
                + " two buckets admit | refused by fixed shares | refused by two buckets |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        for (Team team : TEAMS) {
            System.out.printf(
                    "| %s | %s | %d | %d | %d | %d | %d | %s | %s |%n",
                    team.name(),
                    team.ratePerSecond(),
                    team.burst(),
                    count(requests, team, index -> true),
                    count(requests, team, index -> ideal[index]),
                    count(requests, team, index -> fixed[index]),
                    count(requests, team, index -> reserves[index]),
                    share(requests, team, ideal, fixed),
                    share(requests, team, ideal, reserves));
        }
    }

    /** Formats how many fewer requests are admitted than by a single bucket, also as a percentage of the latter. */
    private static String share(List<Request> requests, Team team, boolean[] ideal, boolean[] actual) {
        long admitted = count(requests, team, index -> ideal[index]);
        long refused = team.name().equals(SURGING_TEAM)
                ? Math.max(0, admitted - count(requests, team, index -> actual[index]))
                : count(requests, team, index -> ideal[index] && !actual[index]);
        return String.format("%d (%.2f%%)", refused, 100.0 * refused / Math.max(1, admitted));
    }

    private static long count(List<Request> requests, Team team, IntPredicate counted) {
        return requests.stream()
                .filter(request -> request.team().equals(team))
                .filter(request -> counted.test(request.index()))
                .count();
    }

    private static List<Request> requests(long seed, int seconds, double surge) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Request> unordered = new ArrayList<>();
        for (Team team : TEAMS) {
            double factor = team.name().equals(SURGING_TEAM) && surge > 1 ? surge : QUIET_LOAD;
            double at = 0;
            while (at < seconds) {
                at += -Math.log(1 - random.nextDouble()) / (team.ratePerSecond() * factor);
                unordered.add(new Request(0, at, team, random.nextInt(HOSTS)));
            }
        }
        unordered.sort(Comparator.comparingDouble(Request::at));
        List<Request> result = new ArrayList<>();
        for (Request request : unordered) {
            result.add(new Request(result.size(), request.at(), request.team(), request.host()));
        }
        return result;
    }

    private static boolean[] runIdeal(List<Request> requests) {
        Map<Team, double[]> states =
                TEAMS.stream().collect(Collectors.toMap(team -> team, team -> new double[] {team.burst(), 0}));
        boolean[] admitted = new boolean[requests.size()];
        for (Request request : requests) {
            double[] state = Objects.requireNonNull(states.get(request.team()));
            double accrued = (request.at() - state[1]) * request.team().ratePerSecond();
            state[0] = Math.min(request.team().burst(), state[0] + accrued);
            state[1] = request.at();
            admitted[request.index()] = state[0] >= 1;
            state[0] -= state[0] >= 1 ? 1 : 0;
        }
        return admitted;
    }

    private static boolean[] run(List<Request> requests, Function<Setup, RateLimiter> factory) {
        RateLimitExperiment experiment = new RateLimitExperiment(factory);
        boolean[] admitted = new boolean[requests.size()];
        for (Request request : requests) {
            experiment.advance(request.at());
            RateLimiter limiter = experiment.limiters.get(request.host());
            TokenDecision first = limiter.decide(request.team().name(), nanos(request.at()));
            experiment.handleDecision(request, request.at(), first, admitted);
        }
        experiment.advance(Double.MAX_VALUE);
        return admitted;
    }

    private void handleDecision(Request request, double at, TokenDecision decision, boolean[] admitted) {
        if (decision instanceof TokenDecision.RequestTokens ask) {
            double delay = ask.owner().equals(host(request)) ? 0 : ONE_WAY_SECONDS;
            schedule(at + delay, () -> {
                TokenBuckets owner = owners.get(roster.rank(ask.owner()));
                TokenAnswer answer =
                        owner.request(new TokenRequest(ask.team(), ask.bucket(), ask.wanted()), nanos(at + delay));
                double back = at + 2 * delay;
                schedule(back, () -> {
                    RateLimiter limiter = limiters.get(request.host());
                    handleDecision(request, back, limiter.onAnswer(ask, nanos(at), answer, nanos(back)), admitted);
                });
            });
        } else {
            admitted[request.index()] = decision instanceof TokenDecision.Admit;
        }
    }

    private void advance(double until) {
        while (!steps.isEmpty() && steps.peek().at() <= until) {
            steps.poll().action().run();
        }
        if (until >= nextReturns && until < Double.MAX_VALUE) {
            nextReturns = until + 0.1;
            limiters.forEach(limiter -> returnExpired(limiter, until));
        }
    }

    private void returnExpired(RateLimiter limiter, double at) {
        if (limiter instanceof TokenReserves reserves) {
            reserves.expired(nanos(at))
                    .forEach(back -> schedule(
                            at + ONE_WAY_SECONDS,
                            () -> owners.get(roster.rank(back.owner()))
                                    .returnTokens(back.message(), nanos(at + ONE_WAY_SECONDS))));
        }
    }

    private HostId host(Request request) {
        return roster.members().get(request.host()).id();
    }

    private void schedule(double at, Runnable action) {
        steps.add(new Step(at, order++, action));
    }

    private static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }

    private static Roster fleet() {
        Roster result = Roster.bootstrap(member(0), Roster.DEFAULT_SHARD_COUNT);
        for (int number = 1; number < HOSTS; number++) {
            result = result.join(member(number));
        }
        return result;
    }

    private static Member member(int number) {
        HostId id = new HostId(String.format("host-%02d", number), number);
        return new Member(id, "192.0.2.1:1", "192.0.2.1:2", "dc-" + number % 3, MemberState.SERVING, 1);
    }

    private record Setup(HostId self, Roster roster) {}

    private record Request(int index, double at, Team team, int host) {}

    private record Step(double at, long order, Runnable action) {}

    /** Ownership without faults: all shards stay with their owners, and every bucket starts full. */
    private record AlwaysOwner(Roster roster) implements ShardView {
        @Override
        public int shardCount() {
            return roster.shards().size();
        }

        @Override
        public Optional<OwnershipPeriod> activePeriod(int shard, long nowNanos) {
            return Optional.of(new OwnershipPeriod(0, 0, true));
        }
    }
}
