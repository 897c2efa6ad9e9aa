package org.auburnhoist.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.load.AnswerChecker;
import org.auburnhoist.load.Arrivals;
import org.auburnhoist.load.AttemptResult;
import org.auburnhoist.load.ClassShares;
import org.auburnhoist.load.LoadGenerator;
import org.auburnhoist.load.LoadLog;
import org.auburnhoist.load.LoadRequest;
import org.auburnhoist.load.RequestResult;
import org.auburnhoist.load.TeamLoad;

/** Generates an open-loop load of GET requests to a running fleet. */
final class LoadCommand implements Command {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final double MICROS_PER_MILLI = 1e3;
    private static final Duration MAX_DURATION = Duration.ofMinutes(30);

    private static final Setting<List<InetSocketAddress>> TARGET = Setting.addresses(
                    "target", "hosts that are asked for the addresses to use")
            .asRequired();
    private static final Setting<String> KEY = Setting.text(
                    "key",
                    "KEY",
                    "the caller's key, id and secret",
                    "<key id>.<secret> of printable characters without spaces",
                    Pattern.compile("[!-~]+\\.[!-~]+"))
            .asRequired()
            .asConfidential();
    private static final Setting<Long> RATE = Setting.integer(
                    "rate", "requests per second on average, at random times", 1, 100_000)
            .asRequired();
    private static final Setting<String> PATH = Setting.text(
                    "path",
                    "PATH",
                    "path and query of each request",
                    "a path that starts with /",
                    Pattern.compile("/[!-~]*"))
            .asRequired();
    private static final Setting<Duration> DURATION =
            Setting.duration("duration", "how long requests are sent").withDefault(Duration.ofSeconds(10));
    private static final Setting<Long> SEED =
            Setting.integer("seed", "seed of the times", 0, Integer.MAX_VALUE).withDefault(1L);

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "Sends GET requests to a running fleet at random times and prints quantiles of their latency.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(TARGET, KEY, RATE, PATH, DURATION, SEED);
    }

    @Override
    public List<SettingFinding> validate(Settings settings) {
        Duration duration = settings.find(DURATION).orElse(Duration.ZERO);
        long requests = settings.find(RATE).orElse(0L) * duration.toSeconds();
        if (duration.compareTo(MAX_DURATION) > 0 || requests > Arrivals.MAX_REQUESTS / 2) {
            String expected = "at most 30m, and at most " + Arrivals.MAX_REQUESTS / 2 + " requests at the given rate";
            return List.of(new SettingFinding("--duration", expected, duration.toSeconds() + "s"));
        }
        return List.of();
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        Duration duration = settings.get(DURATION);
        TeamLoad team = team(settings);
        LoadLog log = new LoadLog(List.of(team), Math.toIntExact(Math.max(1, duration.toSeconds())));
        List<LoadRequest> requests = new Arrivals(new ClassShares(1, 0, 0), List.of(), duration.toNanos())
                .draw(List.of(team), settings.get(SEED)).stream()
                        .map(request -> withPath(request, settings.get(PATH)))
                        .toList();
        List<String> targets =
                settings.get(TARGET).stream().map(LoadCommand::formatAddress).toList();
        try (LoadGenerator generator =
                new LoadGenerator(List.of(team), log, AnswerChecker.FRAMING_ONLY, () -> targets)) {
            generator.run(requests);
            report(requests.size(), generator.inProgress(), log, context);
            return log.count(RequestResult.Ending.GOOD) == 0 ? ExitCode.UNAVAILABLE : ExitCode.DONE;
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            return ExitCode.UNAVAILABLE;
        }
    }

    private static TeamLoad team(Settings settings) {
        String key = settings.get(KEY);
        double rate = settings.get(RATE);
        Map<TrafficClass, List<String>> paths = Map.of(TrafficClass.LOOKUP, List.of(settings.get(PATH)));
        return new TeamLoad("caller", key.substring(0, key.indexOf('.')), "Bearer " + key, rate, rate, 1, paths);
    }

    private static LoadRequest withPath(LoadRequest request, String path) {
        return new LoadRequest(
                request.number(), request.offsetNanos(), request.team(), request.trafficClass(), path, -1);
    }

    private static String formatAddress(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static void report(int scheduled, int unfinished, LoadLog log, CommandContext context) {
        context.out().println("scheduled: " + scheduled);
        for (RequestResult.Ending ending : RequestResult.Ending.values()) {
            Optional.of(log.count(ending))
                    .filter(count -> count > 0)
                    .ifPresent(count -> context.out().println(label(ending) + ": " + count));
        }
        context.out().println("attempts cut: " + log.count(AttemptResult.CUT));
        context.out().println("not sent: " + log.notSentCount() + ", unfinished: " + unfinished);
        Histogram latencies = log.latencies(TrafficClass.LOOKUP);
        for (double percentile : PERCENTILES) {
            double millis = latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
            context.out().printf(Locale.ROOT, "p%s: %.2f ms%n", percentile, millis);
        }
    }

    private static String label(RequestResult.Ending ending) {
        return ending.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
