package org.auburnhoist.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Collects the lines about one request from the logs of several hosts. */
final class ExplainCommand implements Command {
    private static final String REQUEST = "request";
    /**
     * Time before and after a request in which lines are searched. Host clocks may differ by this much, and a server is
     * avoided for about as long.
     */
    private static final Duration TIME_MARGIN = Duration.ofSeconds(4);

    private static final int MAX_FILES = 1_000;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Shows from the logs of hosts what happened to a request, and the state of the hosts at that time.";
    }

    @Override
    public String operandLabel() {
        return "ID FILE...";
    }

    @Override
    public int minimumOperands() {
        return 2;
    }

    @Override
    public int maximumOperands() {
        return MAX_FILES;
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of();
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        String id = settings.operands().get(0);
        List<LogLine> lines = new ArrayList<>();
        List<String> names = settings.operands().subList(1, settings.operands().size());
        for (String name : names) {
            try {
                read(context, name, lines);
            } catch (IOException | InvalidPathException unreadable) {
                context.err().println(name + ": expected a readable file, found " + unreadable);
                return ExitCode.REFUSED;
            }
        }
        List<LogLine> requests = lines.stream()
                .filter(line -> line.event().equals(REQUEST))
                .filter(line ->
                        line.field("id").equals(id) || line.field("attempt").equals(id))
                .sorted(Comparator.comparing(LogLine::time))
                .toList();
        if (requests.isEmpty()) {
            context.err().println(id + ": expected the id of a request in " + names.size() + " files, found none");
            return ExitCode.REFUSED;
        }
        requests.forEach(request -> explain(request, lines, context));
        return ExitCode.DONE;
    }

    private static void read(CommandContext context, String name, List<LogLine> lines) throws IOException {
        try (InputStream in = Files.newInputStream(context.workingDirectory().resolve(name))) {
            for (String text : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n", -1)) {
                LogLine line = LogLine.parse(name, text);
                if (line != null) {
                    lines.add(line);
                }
            }
        }
    }

    private static void explain(LogLine request, List<LogLine> lines, CommandContext context) {
        Instant end = request.time();
        Instant begin = end.minus(microseconds(request.field("micros")));
        List<LogLine> shown =
                new ArrayList<>(latestStateEvents(request.file(), lines, begin).values());
        Set<String> servers = servers(request);
        lines.stream()
                .filter(line -> !line.event().equals(REQUEST))
                .filter(line -> isBetween(line, begin.minus(TIME_MARGIN), end.plus(TIME_MARGIN)))
                .filter(line -> isRelated(line, request, servers, begin, end))
                .forEach(shown::add);
        shown.add(request);
        shown.stream()
                .distinct()
                .sorted(Comparator.comparing(LogLine::time))
                .forEach(line ->
                        context.out().println(line.file() + ": " + line.text().strip()));
    }

    /** The newest line of each event that describes the state of the request's host when the request arrived. */
    private static Map<String, LogLine> latestStateEvents(String file, List<LogLine> lines, Instant time) {
        Map<String, LogLine> newest = new TreeMap<>();
        for (LogLine line : lines) {
            boolean before = line.file().equals(file) && !line.time().isAfter(time);
            if (before && isStateEvent(line)) {
                newest.merge(line.event(), line, (old, next) -> next.time().isBefore(old.time()) ? old : next);
            }
        }
        return newest;
    }

    private static boolean isStateEvent(LogLine line) {
        String event = line.event();
        return event.endsWith("-adopted")
                || event.startsWith("configuration-")
                || event.startsWith("store-")
                || event.startsWith("host-");
    }

    private static boolean isRelated(LogLine line, LogLine request, Set<String> servers, Instant begin, Instant end) {
        boolean sameHost = line.file().equals(request.file());
        return servers.contains(line.field("server"))
                || (line.event().startsWith("team-") && line.field("team").equals(request.field("team")))
                || (sameHost && isBetween(line, begin, end));
    }

    private static Set<String> servers(LogLine request) {
        Set<String> servers = new HashSet<>();
        for (String attempt : request.field("attempts").split(",", -1)) {
            if (!attempt.isEmpty()) {
                servers.add(attempt.split(":", -1)[0]);
            }
        }
        return servers;
    }

    private static boolean isBetween(LogLine line, Instant from, Instant until) {
        return !line.time().isBefore(from) && !line.time().isAfter(until);
    }

    private static Duration microseconds(String text) {
        return text.matches("[0-9]{1,15}") ? Duration.ofNanos(Long.parseLong(text) * 1_000) : Duration.ZERO;
    }
}
