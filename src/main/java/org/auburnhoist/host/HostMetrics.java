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
import org.jspecify.annotations.Nullable;

/**
 * Counters and histograms of one host, readable as Prometheus text.
 *
 * <p>Each class has its histogram, and so have the first {@value #TEAMS_WITH_HISTOGRAM} teams seen; further teams share
 * one, because a histogram of each of 81,000 teams would not fit a host's memory.
 */
public final class HostMetrics {
    private static final int TEAMS_WITH_HISTOGRAM = 100;
    private static final String OTHER_TEAMS = "other";
    private static final double[] QUANTILES = {0.5, 0.99, 0.999};

    private final MetricRegistry registry = new MetricRegistry();
    private final Set<String> teams = ConcurrentHashMap.newKeySet();

    /** Records a finished request. */
    public void requestFinished(
            TrafficClass trafficClass, String team, int status, @Nullable Refusal refusal, long durationMicros) {
        String className = trafficClass.name().toLowerCase(Locale.ROOT);
        histogram("request_micros{class=\"" + className + "\"").update(durationMicros);
        String teamName = labelFor(team);
        histogram("request_micros_by_team{team=\"" + teamName + "\"").update(durationMicros);
        counter("requests_total{class=\"" + className + "\",status=\"" + status + "\"")
                .inc();
        if (refusal == null) {
            counter("answered_total{team=\"" + teamName + "\"").inc();
        } else {
            refused(refusal, teamName);
        }
    }

    /** Counts a request that was refused before it had a route. */
    public void requestRefused(Refusal refusal, String team) {
        refused(refusal, labelFor(team));
    }

    /** Counts an event, such as an attempt on a server. */
    public void count(String name, String label, String value) {
        counter(name + "{" + label + "=\"" + value + "\"").inc();
    }

    /** Publishes a value that is read when the metrics are read. */
    public void gauge(String name, LongSupplier value) {
        registry.gauge(name + "{", () -> (Gauge<Long>) value::getAsLong);
    }

    /** The metrics in the Prometheus text format. */
    public String text() {
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

    private void refused(Refusal refusal, String teamName) {
        counter("refusals_total{code=\"" + refusal.code() + "\",team=\"" + teamName + "\"")
                .inc();
    }

    private Histogram histogram(String name) {
        return registry.histogram(name);
    }

    private Counter counter(String name) {
        return registry.counter(name);
    }

    private String labelFor(String team) {
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
