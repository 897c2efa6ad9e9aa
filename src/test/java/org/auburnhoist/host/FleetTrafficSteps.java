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
import org.auburnhoist.host.ScenarioCaller.Answer;

/** Steps about callers who send many requests. */
public final class FleetTrafficSteps {
    private static final int DOWNLOAD_BYTES = 20_000;

    private final ScenarioFleet fleet;
    private final Queue<String> wrongAnswers = new ConcurrentLinkedQueue<>();
    private final Queue<String> cut = new ConcurrentLinkedQueue<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger duringStop = new AtomicInteger();
    private final List<Future<?>> running = new ArrayList<>();
    private final Map<String, Answer> answers = new HashMap<>();
    private volatile boolean end;
    private volatile boolean stopping;
    private int sent;
    private long granted;
    private long firstAskedNanos;

    /** Shares the scenario's fleet. */
    public FleetTrafficSteps(ScenarioFleet fleet) {
        this.fleet = fleet;
    }

    /** Sends one request of each kind through each host, several times. */
    @When("every host gets {int} lookups, bookings and downloads")
    public void everyKind(int count) throws Exception {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
        for (int round = 0; round < count; round++) {
            for (EntryHost host : fleet.hosts()) {
                send(caller, host, "GET", "/telescopes/" + round, "");
                send(caller, host, "POST", "/bookings", issue(caller, host));
                send(caller, host, "GET", "/charts/" + round + "?size=" + DOWNLOAD_BYTES, "");
            }
        }
    }

    /** Truncated answers end the connection, which is not what this scenario is about. */
    private void send(ScenarioCaller caller, EntryHost host, String method, String path, String operation) {
        sent++;
        try {
            caller.call(host, method, path, operation);
        } catch (IOException truncated) {
            cut.add(path + ": " + truncated);
        }
    }

    private static String issue(ScenarioCaller caller, EntryHost host) throws IOException {
        return caller.call(host, "POST", "/bookings", "").header("Operation-Id");
    }

    /** Guards against a scenario without retries. */
    @Then("some requests were sent to more than one server")
    public void retried() {
        assertTrue(
                fleet.upstream().runCounts().totalRuns() > sent,
                () -> "runs: " + fleet.upstream().runCounts().totalRuns() + " of " + sent + " requests");
    }

    /** Checks what the servers saw. */
    @Then("no server has seen a key")
    public void noKeySeen() {
        assertTrue(fleet.upstream().runCounts().totalRuns() > 0);
        assertEquals(0, fleet.upstream().runCounts().authorizationHeaders());
    }

    /** Sends until the whole burst has been refused for many rounds. */
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

    /** Waits for the new owners' first grant, which shows that they have taken over. */
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

    /** Guards against limits that hold because nothing is granted. */
    @Then("at least {int} requests ran")
    public void ranAtLeast(int count) {
        assertTrue(granted >= count, () -> granted + " requests ran");
    }

    /** Compares with what the time since the first request allows. */
    @Then("the team got no more than rate {int} and burst {int} allow")
    public void withinLimit(int rate, int burst) {
        double allowed = burst + rate * (System.nanoTime() - firstAskedNanos) / 1e9;
        assertTrue(granted <= allowed, () -> granted + " requests ran, allowed " + allowed);
        assertEquals(granted, fleet.upstream().runCounts().totalRuns());
    }

    /** Runs several callers at the same time, each with open connections and its own paths. */
    @When("{int} callers send {int} lookups and downloads each on open connections")
    public void manyCallers(int callers, int count) throws Exception {
        for (int number = 0; number < callers; number++) {
            ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
            String prefix = "caller-" + number + "-";
            running.add(fleet.threads.submit(() -> {
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
            Answer answer = caller.get(host, path);
            if (answer.status() != 200) {
                return;
            }
            boolean right = path.startsWith("/charts")
                    ? isDownload(path, answer.body())
                    : answer.text().endsWith("}") && answer.text().contains("\"path\":\"" + path + "\"");
            if (right) {
                whole.incrementAndGet();
            } else {
                wrongAnswers.add(path + " got " + answer.head());
            }
        } catch (IOException incomplete) {
            cut.add(path + ": " + incomplete);
        }
    }

    /** The emulator's downloads have bytes that depend on the path and the position. */
    private static boolean isDownload(String path, byte[] body) {
        boolean right = body.length == DOWNLOAD_BYTES;
        for (int index = 0; index < body.length; index++) {
            right &= body[index] == (byte) (index * 31 + (index >>> 8) + path.hashCode());
        }
        return right;
    }

    /** Checks every answer that was presented as complete. */
    @Then("each complete answer is the whole answer to its own request")
    public void answersAreRight() {
        assertEquals(List.of(), List.copyOf(wrongAnswers));
    }

    /** Guards against callers who got nothing. */
    @Then("at least {int} answers were complete")
    public void completeAnswers(int count) {
        assertTrue(whole.get() >= count, () -> whole + " complete, " + cut.size() + " cut");
    }

    /** Sends each request under an id of its own, so that the servers' ledger can be asked about it. */
    @When("callers send {int} lookups and bookings, each with an id of its own")
    public void identified(int count) throws Exception {
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
        running.add(fleet.threads.submit(() -> {
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
            Answer answer = caller.call(host, method, path, id);
            synchronized (answers) {
                answers.put(id, answer);
            }
        } catch (IOException incomplete) {
            cut.add(id);
        }
    }

    /** Compares the refusals with the ledger. */
    @Then("no request that was refused as not run has run")
    public void refusalsAreTrue() {
        List<String> wrong = new ArrayList<>();
        answers.forEach((id, answer) -> {
            if (answer.saysNotRun() && fleet.upstream().runCounts().runsOf(id) > 0) {
                wrong.add(id + " " + answer.refusal());
            }
        });
        assertEquals(List.of(), wrong);
        assertEquals(
                Set.of(),
                fleet.upstream().runCounts().duplicates().stream()
                        .filter(id -> !id.startsWith("lookup-"))
                        .collect(java.util.stream.Collectors.toSet()));
    }

    /** Guards against a scenario without the refusals in question. */
    @Then("some requests were refused as {string}")
    public void someRefusedAs(String code) {
        Set<String> seen = new TreeSet<>();
        answers.values().forEach(answer -> seen.add(answer.refusal()));
        assertTrue(seen.contains(code), () -> "refusals: " + seen);
    }

    /** Starts callers who stay with one host as long as it keeps their connections. */
    @Given("{int} callers send requests to host {int} without pause")
    public void withoutPause(int callers, int host) {
        EntryHost preferred = fleet.host(host);
        EntryHost other = fleet.host(1);
        for (int number = 0; number < callers; number++) {
            ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
            running.add(fleet.threads.submit(() -> sendWithoutPause(caller, preferred, other)));
        }
    }

    private void sendWithoutPause(ScenarioCaller caller, EntryHost preferred, EntryHost other) {
        EntryHost current = preferred;
        while (!end) {
            try {
                Answer answer = caller.get(current, "/charts/1?size=" + DOWNLOAD_BYTES + "&workMillis=20");
                if (answer.status() != 200) {
                    cut.add(answer.head());
                } else if (current == preferred && stopping) {
                    duringStop.incrementAndGet();
                }
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    current = other;
                }
            } catch (IOException incomplete) {
                cut.add(incomplete.toString());
                current = other;
            }
        }
    }

    /** Waits for traffic during the stop. */
    @When("host {int} still answers callers while it stops")
    public void answersWhileStopping(int host) throws Exception {
        stopping = true;
        TestFleet.await("host " + host + " answers", () -> duringStop.get() > 10);
    }

    /** Ends the callers and checks their findings. */
    @Then("no caller saw a failed or broken request")
    public void noneCut() throws Exception {
        end = true;
        for (Future<?> caller : running) {
            caller.get();
        }
        assertEquals(List.of(), List.copyOf(cut));
    }

    /** Sends requests and looks at who answered. */
    @Then("none of {int} requests through every host goes to server {string}")
    public void noneGoesTo(int count, String server) throws Exception {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
        for (int round = 0; round < count; round++) {
            for (EntryHost host : fleet.hosts()) {
                Answer answer = caller.get(host, "/telescopes/" + round);
                assertEquals(200, answer.status(), answer.head());
                assertTrue(!server.equals(answer.header("Upstream-Server")), answer.head());
            }
        }
    }
}
