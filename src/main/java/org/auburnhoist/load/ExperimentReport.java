package org.auburnhoist.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.auburnhoist.load.ExperimentResult.Check;
import org.auburnhoist.load.ExperimentResult.ClassFigures;
import org.auburnhoist.load.ExperimentResult.HealthLine;
import org.auburnhoist.load.ExperimentResult.Sample;
import org.auburnhoist.load.ExperimentResult.TeamFigures;
import org.auburnhoist.load.ExperimentResult.Totals;

/** Formats the result of an experiment as text, as JSON, and as a self-contained HTML page. */
public final class ExperimentReport {
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final String PAGE = """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>{title}</title><style>
            body { font: 14px sans-serif; margin: 2em; max-width: 900px; }
            table { border-collapse: collapse; margin: 0.5em 0 1.5em; }
            td, th { border: 1px solid #ccc; padding: 2px 8px; text-align: right; }
            td:first-child, th:first-child { text-align: left; }
            .missed { background: #fdd; }
            svg text { font-size: 11px; } svg .title { font-size: 13px; font-weight: bold; }
            .grid { stroke: #ddd; } .axis { text-anchor: end; } .time { text-anchor: middle; }
            .fault { fill: #f4a26133; } .mark { stroke: #b00; stroke-dasharray: 3 3; }
            </style></head><body>
            <h1>{title}</h1>
            <p>{summary}</p>
            {body}
            </body></html>
            """;

    private final ExperimentResult result;
    private final StringBuilder body = new StringBuilder();

    private ExperimentReport(ExperimentResult result) {
        this.result = result;
    }

    /** Formats the result as JSON. */
    public static String json(ExperimentResult result) {
        try {
            return MAPPER.writeValueAsString(result);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("failed to serialize the experiment result", impossible);
        }
    }

    /** Formats the result as an HTML page with charts. */
    public static String html(ExperimentResult result) {
        return new ExperimentReport(result).page();
    }

    /** Formats the totals, the latencies and the checks as text with Markdown tables. */
    public static String summary(ExperimentResult result) {
        StringBuilder text = new StringBuilder(512);
        text.append(String.format(
                Locale.ROOT,
                "%n%s: %s, %d hosts, %d s, seed %d%n",
                result.name(),
                result.deployment(),
                result.hosts(),
                result.seconds(),
                result.seed()));
        text.append(totalsLine(result.totals())).append(System.lineSeparator());
        text.append("| class | good | p50 ms | p99 ms | p99.9 ms | max ms |\n|---|---|---|---|---|---|\n");
        for (ClassFigures figures : result.classes()) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %d | %.1f | %.1f | %.1f | %.1f |%n",
                    figures.trafficClass(),
                    figures.count(),
                    figures.p50(),
                    figures.p99(),
                    figures.p999(),
                    figures.max()));
        }
        text.append("| expectation | bound | measured | |\n|---|---|---|---|\n");
        for (Check check : result.checks()) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %s %s | %s | %s |%n",
                    check.measure(),
                    check.lowerBound() ? "at least" : "at most",
                    number(check.bound()),
                    number(check.value()),
                    check.met() ? "met" : "MISSED"));
        }
        return text.toString();
    }

    private static String totalsLine(Totals totals) {
        return String.format(
                Locale.ROOT,
                "%d requests: %d good, %d refused, %d upstream errors, %d without answer, %d not sent, %d unfinished;"
                        + " %d attempts cut, %d without connection%n"
                        + "process %.2f cores; control %.0f B per host and second (idle %.0f); store calls %s;"
                        + " %d members at the end, %d restarted, %d removed",
                totals.offered(),
                totals.good(),
                totals.refused(),
                totals.upstreamErrors(),
                totals.noAnswer(),
                totals.notSent(),
                totals.unfinished(),
                totals.attemptsCut(),
                totals.attemptsUnreached(),
                totals.cpuCores(),
                totals.controlBytesPerHostSecond(),
                totals.idleControlBytesPerHostSecond(),
                totals.storeCalls(),
                totals.membersAtEnd(),
                totals.restarted(),
                totals.removals());
    }

    private String page() {
        checks();
        latencies();
        teams();
        servers();
        process();
        String summary = String.format(
                Locale.ROOT,
                "%s, %d hosts, %d s, seed %d.<br>%s",
                SvgChart.escape(result.deployment()),
                result.hosts(),
                result.seconds(),
                result.seed(),
                SvgChart.escape(totalsLine(result.totals())));
        return PAGE.replace("{title}", SvgChart.escape(result.name()))
                .replace("{summary}", summary)
                .replace("{body}", body);
    }

    private void checks() {
        List<List<String>> rows = new ArrayList<>();
        for (Check check : result.checks()) {
            rows.add(List.of(
                    check.measure(),
                    (check.lowerBound() ? "at least " : "at most ") + number(check.bound()),
                    number(check.value()),
                    check.met() ? "met" : "MISSED"));
        }
        table("Expectations", List.of("measure", "bound", "measured", ""), rows);
        List<List<String>> faults = result.faults().stream()
                .map(fault -> List.of(fault.fault(), number(fault.atSecond()), number(fault.untilSecond())))
                .toList();
        table("Faults", List.of("fault", "from s", "to s"), faults);
    }

    private void latencies() {
        List<List<String>> rows = result.classes().stream()
                .map(figures -> List.of(
                        figures.trafficClass(),
                        Long.toString(figures.count()),
                        number(figures.p50()),
                        number(figures.p99()),
                        number(figures.p999()),
                        number(figures.max())))
                .toList();
        table(
                "Latency by class, from the scheduled arrival",
                List.of("class", "good", "p50", "p99", "p99.9", "max"),
                rows);
        for (ClassFigures figures : result.classes()) {
            body.append(chart("Latency of " + figures.trafficClass(), "ms")
                    .line("p50", figures.p50BySecond())
                    .line("p99", figures.p99BySecond())
                    .toSvg());
        }
    }

    private void teams() {
        List<List<String>> rows = result.teams().stream()
                .map(team -> List.of(
                        team.team(),
                        number(team.ratePerSecond()) + " / " + team.burst(),
                        Long.toString(team.offered()),
                        Long.toString(team.good()),
                        team.refusals().toString(),
                        team.withinRate() + " / " + team.shortfall(),
                        Long.toString(team.overRate()),
                        Long.toString(team.waited())))
                .toList();
        List<String> heads = List.of(
                "team", "rate / burst", "offered", "good", "refused", "within rate / fewer", "over rate", "waited");
        table("Teams", heads, rows);
        teamChart("Goodput", TeamFigures::goodBySecond);
        teamChart("Refused requests", TeamFigures::refusedBySecond);
    }

    private void teamChart(String title, Function<TeamFigures, List<Long>> values) {
        SvgChart chart = chart(title, "requests per second");
        for (TeamFigures team : result.teams()) {
            chart.line(
                    team.team(),
                    values.apply(team).stream().map(Long::doubleValue).toList());
        }
        body.append(chart.toSvg());
    }

    private void servers() {
        List<List<String>> rows = result.healthChanges().stream()
                .map(change -> List.of(
                        change.server(),
                        number(change.second()),
                        change.trafficClass(),
                        change.change(),
                        change.reason()))
                .toList();
        table("Judgement of servers", List.of("server", "s", "class", "change", "reason"), rows);
    }

    private void process() {
        List<Sample> samples = result.samples();
        body.append(chart("CPU of the process (load, hosts, emulators)", "cores")
                .line("process", samples.stream().map(Sample::cpuCores).toList())
                .toSvg());
        body.append(chart("Control traffic", "bytes per host and second")
                .line(
                        "sent and received",
                        samples.stream().map(Sample::controlBytesPerHost).toList())
                .toSvg());
        body.append(chart("Store calls", "calls per second")
                .line(
                        "all kinds",
                        samples.stream()
                                .map(sample -> (double) sample.storeCalls())
                                .toList())
                .toSvg());
    }

    private SvgChart chart(String title, String unit) {
        SvgChart chart = new SvgChart(title, unit, result.seconds());
        result.faults().forEach(fault -> chart.shade(fault.fault(), fault.atSecond(), fault.untilSecond()));
        for (HealthLine change : result.healthChanges()) {
            chart.mark(change.change() + " " + change.server(), change.second());
        }
        return chart;
    }

    private void table(String title, List<String> heads, List<List<String>> rows) {
        if (rows.isEmpty()) {
            return;
        }
        body.append("<h2>").append(SvgChart.escape(title)).append("</h2>\n<table><tr>");
        heads.forEach(head -> body.append("<th>").append(SvgChart.escape(head)).append("</th>"));
        body.append("</tr>\n");
        for (List<String> row : rows) {
            String cells = row.stream()
                    .map(cell -> "<td>" + SvgChart.escape(cell) + "</td>")
                    .collect(Collectors.joining());
            body.append(row.contains("MISSED") ? "<tr class=\"missed\">" : "<tr>")
                    .append(cells)
                    .append("</tr>\n");
        }
        body.append("</table>\n");
    }

    private static String number(double value) {
        if (Double.isNaN(value)) {
            return "not seen";
        }
        return value == Math.rint(value) ? Long.toString((long) value) : String.format(Locale.ROOT, "%.2f", value);
    }
}
