package org.auburnhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.Roster;

/**
 * The status that each host in the roster reports.
 *
 * @param reports one for each member, in roster order
 */
record FleetStatus(List<Report> reports) {
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final String PATH = "/.auburnhoist/versions";

    /** Copies the list. */
    FleetStatus {
        reports = List.copyOf(reports);
    }

    /**
     * One host's report.
     *
     * @param member the host as listed in the roster
     * @param reachable whether it answered
     * @param configurationVersion the version that it has in force, 0 if it did not answer
     * @param fresh whether it may serve
     * @param settledVersion newest version that it knows to be settled
     */
    record Report(Member member, boolean reachable, long configurationVersion, boolean fresh, long settledVersion) {}

    /** Queries all members concurrently and waits at most 2 s for each. */
    static FleetStatus query(Roster roster) {
        List<CompletableFuture<Report>> answers = new ArrayList<>();
        for (Member member : roster.members()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + member.callerAddress() + PATH))
                    .timeout(QUERY_TIMEOUT)
                    .build();
            answers.add(CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .handle((response, failure) ->
                            failure == null ? parseReport(member, response) : unreachable(member)));
        }
        return new FleetStatus(answers.stream().map(CompletableFuture::join).toList());
    }

    /** Whether every member has the version, or a later one, in force. */
    boolean allHave(long version) {
        return reports.stream().allMatch(report -> report.configurationVersion() >= version);
    }

    /** Members that answered and have the version, or a later one, in force. */
    long countWith(long version) {
        return reports.stream()
                .filter(report -> report.configurationVersion() >= version)
                .count();
    }

    /** Writes one line for each member. */
    void print(PrintStream out) {
        for (Report report : reports) {
            Member member = report.member();
            String state = report.reachable()
                    ? "version " + report.configurationVersion() + (report.fresh() ? ", fresh" : ", not fresh: refuses")
                    : "did not answer";
            out.println("  " + member.id() + " " + member.dataCentre() + " " + member.callerAddress() + " "
                    + member.state() + ": " + state);
        }
    }

    private static Report parseReport(Member member, HttpResponse<String> response) {
        try {
            JsonNode answer = MAPPER.readTree(response.body());
            boolean sameIncarnation =
                    answer.path("host").asText().equals(member.id().toString());
            if (response.statusCode() != 200 || !sameIncarnation) {
                return unreachable(member);
            }
            return new Report(
                    member,
                    true,
                    answer.path("configurationVersion").asLong(),
                    answer.path("fresh").asBoolean(),
                    answer.path("settledConfigurationVersion").asLong());
        } catch (IOException malformed) {
            return unreachable(member);
        }
    }

    private static Report unreachable(Member member) {
        return new Report(member, false, 0, false, 0);
    }
}
