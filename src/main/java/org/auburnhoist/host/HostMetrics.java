package org.auburnhoist.host;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Counters and histograms of one host, exported in the Prometheus text format.
 *
 * <p>Each traffic class has a histogram, and so has each of the first {@value #TEAMS_WITH_HISTOGRAM} teams seen. All
 * further teams share one, because a histogram for each of 81,000 teams would not fit in the memory of a host.
 */
public final class HostMetrics {
    private static final int TEAMS_WITH_HISTOGRAM = 100;
    private static final String OTHER_TEAMS = "other";
    private static final double[] QUANTILES = {0.5, 0.99, 0.999};

    private final MetricRegistry registry = new MetricRegistry();
    private final Set<String> teams = ConcurrentHashMap.newKeySet();
    private final Map<TrafficClass, ClassMetrics> classes = new ConcurrentHashMap<>();
    private final Map<String, Histogram> histogramsByTeam = new ConcurrentHashMap<>();
    private final Map<String, Counter> answeredByTeam = new ConcurrentHashMap<>();
    private final Map<AttemptOutcome, Counter> attempts = new ConcurrentHashMap<>();

    /**
     * Metrics of one traffic class. Metric names are built once for each class, team, status and outcome, because
     * building them is slow.
     */
    private static final class ClassMetrics {
        final String name;
        final Histogram durations;
        final Map<Integer, Counter> byStatus = new ConcurrentHashMap<>();

        ClassMetrics(String name, Histogram durations) {
            this.name = name;
            this.durations = durations;
        }
    }

    /** Records a finished request. */
    public void requestFinished(
            TrafficClass trafficClass, String team, int status, @Nullable Refusal refusal, long durationMicros) {
        ClassMetrics classMetrics = classes.computeIfAbsent(trafficClass, this::classMetrics);
        classMetrics.durations.update(durationMicros);
        classMetrics
                .byStatus
                .computeIfAbsent(
                        status,
                        code -> counter("requests_total{class=\"" + classMetrics.name + "\",status=\"" + code + "\""))
                .inc();
        String teamName = teamLabel(team);
        histogramsByTeam.computeIfAbsent(teamName, this::teamHistogram).update(durationMicros);
        if (refusal == null) {
            answeredByTeam.computeIfAbsent(teamName, this::answeredCounter).inc();
        } else {
            countRefusal(refusal, teamName);
        }
    }

    /** Counts an attempt on a server. */
    public void attemptEnded(AttemptOutcome outcome) {
        attempts.computeIfAbsent(outcome, this::attemptCounter).inc();
    }

    /** Counts a request that was refused before it had a route. */
    public void requestRefused(Refusal refusal, String team) {
        countRefusal(refusal, teamLabel(team));
    }

    /** Registers a gauge whose value is read at each export of the metrics. */
    public void registerGauge(String name, LongSupplier value) {
        registry.gauge(name + "{", () -> (Gauge<Long>) value::getAsLong);
    }

    /** Exports the metrics in the Prometheus text format. */
    public String prometheusText() {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> appendLine(text, name, "", counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> appendLine(text, name, "", gauge.getValue()));
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            for (double quantile : QUANTILES) {
                appendLine(text, entry.getKey(), "quantile=\"" + quantile + "\"", snapshot.getValue(quantile));
            }
            appendLine(
                    text,
                    entry.getKey().replace("{", "_count{"),
                    "",
                    entry.getValue().getCount());
        }
        return text.toString();
    }

    private void countRefusal(Refusal refusal, String teamName) {
        counter("refusals_total{code=\"" + refusal.code() + "\",team=\"" + teamName + "\"")
                .inc();
    }

    private ClassMetrics classMetrics(TrafficClass trafficClass) {
        String name = trafficClass.name().toLowerCase(Locale.ROOT);
        return new ClassMetrics(name, histogram("request_micros{class=\"" + name + "\""));
    }

    private Histogram teamHistogram(String team) {
        return histogram("request_micros_by_team{team=\"" + team + "\"");
    }

    private Counter answeredCounter(String team) {
        return counter("answered_total{team=\"" + team + "\"");
    }

    private Counter attemptCounter(AttemptOutcome outcome) {
        return counter("attempts_total{outcome=\"" + outcome.name().toLowerCase(Locale.ROOT) + "\"");
    }

    private Histogram histogram(String name) {
        return registry.histogram(name);
    }

    private Counter counter(String name) {
        return registry.counter(name);
    }

    private String teamLabel(String team) {
        if (team.isEmpty()) {
            return "none";
        }
        if (teams.contains(team)) {
            return team;
        }
        if (teams.size() >= TEAMS_WITH_HISTOGRAM) {
            return OTHER_TEAMS;
        }
        teams.add(team);
        return team;
    }

    private static void appendLine(StringBuilder text, String name, String extraLabel, Object value) {
        String separator = name.endsWith("{") || extraLabel.isEmpty() ? "" : ",";
        String labels = name + separator + extraLabel + "}";
        text.append("auburnhoist_")
                .append(labels.replace("{}", ""))
                .append(' ')
                .append(value)
                .append('\n');
    }
}
