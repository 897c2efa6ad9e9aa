package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.auburnhoist.host.ScenarioCaller.Response;

/** Steps about callers that send many requests. */
public final class FleetTrafficSteps {
    private static final int DOWNLOAD_BYTES = 20_000;

    private final ScenarioFleet fleet;
    private final Queue<String> wrongResponses = new ConcurrentLinkedQueue<>();
    private final Queue<String> failedRequests = new ConcurrentLinkedQueue<>();
    private final AtomicInteger completeResponses = new AtomicInteger();
    private final AtomicInteger responsesDuringStop = new AtomicInteger();
    private final List<Future<?>> running = new ArrayList<>();
    private final Map<String, Response> responses = new HashMap<>();
    private volatile boolean stopCallers;
    private volatile boolean hostStopping;
    private int sent;
    private long granted;
    private long firstAskedNanos;

    /** Uses the fleet that the steps of a scenario share. */
    public FleetTrafficSteps(ScenarioFleet fleet) {
        this.fleet = fleet;
    }

    /** Sends one request of each kind through each host, several times. */
    @When("every host gets {int} lookups, bookings and downloads")
    public void sendEveryKind(int count) throws Exception {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
        for (int round = 0; round < count; round++) {
            for (EntryHost host : fleet.hosts()) {
                send(caller, host, "GET", "/telescopes/" + round, "");
                send(caller, host, "POST", "/bookings", issue(caller, host));
                send(caller, host, "GET", "/charts/" + round + "?size=" + DOWNLOAD_BYTES, "");
            }
        }
    }

    /**
     * Records requests that fail because a truncated response ends the connection; the scenario does not check them.
     */
    private void send(ScenarioCaller caller, EntryHost host, String method, String path, String operation) {
        sent++;
        try {
            caller.call(host, method, path, operation);
        } catch (IOException truncated) {
            failedRequests.add(path + ": " + truncated);
        }
    }

    private static String issue(ScenarioCaller caller, EntryHost host) throws IOException {
        return caller.call(host, "POST", "/bookings", "").header("Operation-Id");
    }

    /** Checks that the scenario has caused retries. */
    @Then("some requests were sent to more than one server")
    public void someRequestsWereRetried() {
        assertTrue(
                fleet.upstream().runCounts().totalRuns() > sent,
                () -> "runs: " + fleet.upstream().runCounts().totalRuns() + " of " + sent + " requests");
    }

    /** Checks that no server has received an Authorization header. */
    @Then("no server has seen a key")
    public void noKeySeen() {
        assertTrue(fleet.upstream().runCounts().totalRuns() > 0);
        assertEquals(0, fleet.upstream().runCounts().authorizationHeaders());
    }

    /** Sends a number of requests to every host and counts those that are granted. */
    @When("callers ask every host {int} times")
    public void askEveryHost(int rounds) throws Exception {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
        if (firstAskedNanos == 0) {
            firstAskedNanos = System.nanoTime();
        }
        for (int round = 0; round < rounds; round++) {
            for (EntryHost host : fleet.hosts()) {
                granted += caller.get(host, "/telescopes/7").status() == 200 ? 1 : 0;
            }
        }
    }

    /** Waits for the first grant by the new bucket owners, which shows that they have taken over. */
    @When("callers ask every host until a request runs")
    public void askUntilGranted() throws Exception {
        long before = granted;
        TestFleet.await("a request runs", () -> {
            try {
                askEveryHost(1);
            } catch (Exception cause) {
                throw new IllegalStateException(cause);
            }
            return granted > before;
        });
    }

    /** Checks that requests were granted; otherwise the limit would hold trivially. */
    @Then("at least {int} requests ran")
    public void ranAtLeast(int count) {
        assertTrue(granted >= count, () -> granted + " requests ran");
    }

    /** Compares the granted requests with the number that the time since the first request allows. */
    @Then("the team got no more than rate {int} and burst {int} allow")
    public void withinLimit(int rate, int burst) {
        double allowed = burst + rate * (System.nanoTime() - firstAskedNanos) / 1e9;
        assertTrue(granted <= allowed, () -> granted + " requests ran, allowed " + allowed);
        assertEquals(granted, fleet.upstream().runCounts().totalRuns());
    }

    /** Runs several callers at the same time, each with open connections and its own paths. */
    @When("{int} callers send {int} lookups and downloads each on open connections")
    public void sendConcurrently(int callers, int count) throws Exception {
        for (int number = 0; number < callers; number++) {
            ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
            String prefix = "caller-" + number + "-";
            running.add(fleet.executor.submit(() -> {
                for (int request = 0; request < count; request++) {
                    for (EntryHost host : fleet.hosts()) {
                        check(caller, host, "/telescopes/" + prefix + request);
                        check(caller, host, "/impatient/" + prefix + request);
                        check(caller, host, "/charts/" + prefix + request + "?size=" + DOWNLOAD_BYTES);
                    }
                }
            }));
        }
        for (Future<?> caller : running) {
            caller.get();
        }
    }

    private void check(ScenarioCaller caller, EntryHost host, String path) {
        try {
            Response response = caller.get(host, path);
            if (response.status() != 200) {
                return;
            }
            boolean right = path.startsWith("/charts")
                    ? isDownload(path, response.body())
                    : response.text().endsWith("}") && response.text().contains("\"path\":\"" + path + "\"");
            if (right) {
                completeResponses.incrementAndGet();
            } else {
                wrongResponses.add(path + " got " + response.head());
            }
        } catch (IOException incomplete) {
            failedRequests.add(path + ": " + incomplete);
        }
    }

    /** Whether the body is the emulator's download for a path; its bytes depend on the path and the position. */
    private static boolean isDownload(String path, byte[] body) {
        boolean right = body.length == DOWNLOAD_BYTES;
        for (int index = 0; index < body.length; index++) {
            right &= body[index] == (byte) (index * 31 + (index >>> 8) + path.hashCode());
        }
        return right;
    }

    /** Checks every response that was framed as complete. */
    @Then("each complete answer is the whole answer to its own request")
    public void responsesAreRight() {
        assertEquals(List.of(), List.copyOf(wrongResponses));
    }

    /** Checks that enough responses were complete; otherwise the checks of their content would hold trivially. */
    @Then("at least {int} answers were complete")
    public void atLeastComplete(int count) {
        assertTrue(
                completeResponses.get() >= count,
                () -> completeResponses + " complete, " + failedRequests.size() + " failed");
    }

    /** Sends each request with an id of its own, by which the servers' record of runs can be searched. */
    @When("callers send {int} lookups and bookings, each with an id of its own")
    public void sendWithIds(int count) throws Exception {
        for (int number = 0; number < count; number++) {
            for (EntryHost host : fleet.hosts()) {
                sendIdentified(host, "lookup-" + sent++);
            }
        }
        for (Future<?> request : running) {
            request.get();
        }
    }

    private void sendIdentified(EntryHost host, String lookup) {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
        running.add(fleet.executor.submit(() -> {
            record(lookup, caller, host, "GET", "/impatient/7?workMillis=50");
            String booking = issue(caller, host);
            if (!booking.isEmpty()) {
                record(booking, caller, host, "POST", "/bookings?workMillis=50");
            }
            return null;
        }));
    }

    private void record(String id, ScenarioCaller caller, EntryHost host, String method, String path) {
        try {
            Response response = caller.call(host, method, path, id);
            synchronized (responses) {
                responses.put(id, response);
            }
        } catch (IOException incomplete) {
            failedRequests.add(id);
        }
    }

    /** Compares the refusals with the servers' record of runs. */
    @Then("no request that was refused as not run has run")
    public void refusalsAreTrue() {
        List<String> wrong = new ArrayList<>();
        responses.forEach((id, response) -> {
            if (response.saysNotRun() && fleet.upstream().runCounts().runsOf(id) > 0) {
                wrong.add(id + " " + response.refusal());
            }
        });
        assertEquals(List.of(), wrong);
        assertEquals(
                Set.of(),
                fleet.upstream().runCounts().duplicates().stream()
                        .filter(id -> !id.startsWith("lookup-"))
                        .collect(java.util.stream.Collectors.toSet()));
    }

    /** Checks that the scenario has caused refusals of the given kind. */
    @Then("some requests were refused as {string}")
    public void someRefusedAs(String code) {
        Set<String> seen = new TreeSet<>();
        responses.values().forEach(response -> seen.add(response.refusal()));
        assertTrue(seen.contains(code), () -> "refusals: " + seen);
    }

    /** Starts callers that use one host as long as it keeps their connections open. */
    @Given("{int} callers send requests to host {int} without pause")
    public void startContinuousCallers(int callers, int host) {
        EntryHost preferred = fleet.host(host);
        EntryHost other = fleet.host(1);
        for (int number = 0; number < callers; number++) {
            ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
            running.add(fleet.executor.submit(() -> sendContinuously(caller, preferred, other)));
        }
    }

    private void sendContinuously(ScenarioCaller caller, EntryHost preferred, EntryHost other) {
        EntryHost current = preferred;
        while (!stopCallers) {
            try {
                Response response = caller.get(current, "/charts/1?size=" + DOWNLOAD_BYTES + "&workMillis=20");
                if (response.status() != 200) {
                    failedRequests.add(response.head());
                } else if (current == preferred && hostStopping) {
                    responsesDuringStop.incrementAndGet();
                }
                if (response.header("Connection").equalsIgnoreCase("close")) {
                    current = other;
                }
            } catch (IOException incomplete) {
                failedRequests.add(incomplete.toString());
                current = other;
            }
        }
    }

    /** Waits until the host has answered more than 10 requests during the stop. */
    @When("host {int} still answers callers while it stops")
    public void awaitResponsesWhileStopping(int host) throws Exception {
        hostStopping = true;
        TestFleet.await("host " + host + " answers", () -> responsesDuringStop.get() > 10);
    }

    /** Stops the callers and checks that none of them has recorded a failed request. */
    @Then("no caller saw a failed or broken request")
    public void noRequestFailed() throws Exception {
        stopCallers = true;
        for (Future<?> caller : running) {
            caller.get();
        }
        assertEquals(List.of(), List.copyOf(failedRequests));
    }

    /** Sends requests and checks that none was answered by the server. */
    @Then("none of {int} requests through every host goes to server {string}")
    public void noneGoesTo(int count, String server) throws Exception {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
        for (int round = 0; round < count; round++) {
            for (EntryHost host : fleet.hosts()) {
                Response response = caller.get(host, "/telescopes/" + round);
                assertEquals(200, response.status(), response.head());
                assertTrue(!server.equals(response.header("Upstream-Server")), response.head());
            }
        }
    }
}
