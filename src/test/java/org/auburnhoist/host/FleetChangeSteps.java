package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.auburnhoist.cli.CliRunner;
import org.auburnhoist.cli.ExitCode;
import org.auburnhoist.host.ScenarioCaller.Response;

/** Steps about changes of the configuration and withdrawn keys. */
public final class FleetChangeSteps {
    private final ScenarioFleet fleet;
    private final Path directory = Files.createTempDirectory("operators");
    private final List<CliRunner> operators = new ArrayList<>();
    private final List<ExitCode> exitCodes = new ArrayList<>();
    private ScenarioCaller withdrawnKeyCaller;
    private ScenarioStore operatorStore;

    /** Uses the fleet that the steps of a scenario share. */
    public FleetChangeSteps(ScenarioFleet fleet) throws IOException {
        this.fleet = fleet;
    }

    /** Deletes the operators' files. */
    @After
    public void deleteFiles() throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** Opens a connection to each host with the key that will be withdrawn. */
    @Given("a caller holds an open connection to every host")
    public void openConnections() throws Exception {
        withdrawnKeyCaller = fleet.newCaller(ScenarioFleet.KEY);
        for (EntryHost host : fleet.hosts()) {
            assertEquals(200, withdrawnKeyCaller.get(host, "/telescopes/7").status());
        }
    }

    /** Changes the configuration. */
    @When("the caller's key is withdrawn")
    public void withdraw() throws Exception {
        fleet.withdrawKey();
    }

    /** Waits for the refusal on the connection that was open before. */
    @Then("host {int} refuses the caller on the open connection as {string}")
    public void awaitRefusal(int number, String code) throws Exception {
        int opened = withdrawnKeyCaller.connectionsOpened();
        TestFleet.await(
                "host " + number + " refuses as " + code, () -> refusal(number).equals(code));
        long before = fleet.upstream().runCounts().totalRuns();
        for (int round = 0; round < 20; round++) {
            String refusal = refusal(number);
            assertTrue(refusal.equals(code) || refusal.equals("host-isolated"), refusal);
        }
        assertEquals(before, fleet.upstream().runCounts().totalRuns());
        assertEquals(opened, withdrawnKeyCaller.connectionsOpened());
    }

    private String refusal(int number) {
        try {
            return withdrawnKeyCaller.get(fleet.host(number), "/telescopes/7").refusal();
        } catch (IOException cause) {
            throw new IllegalStateException(cause);
        }
    }

    /** Waits until hosts accept the other key; they may refuse it briefly while the roster changes. */
    @Then("host(s) {string} serve(s) the team's other key")
    public void awaitOtherKeyServed(String numbers) throws Exception {
        ScenarioCaller other = fleet.newCaller(ScenarioFleet.OTHER_KEY);
        for (String number : numbers.split(", ")) {
            TestFleet.await("host " + number + " serves", () -> {
                try {
                    return other.get(fleet.host(Integer.parseInt(number)), "/telescopes/7")
                                    .status()
                            == 200;
                } catch (IOException cause) {
                    throw new IllegalStateException(cause);
                }
            });
        }
    }

    /** Sends requests to a host that has no configuration. */
    @Then("host {int} refuses {int} requests as {string}")
    public void refusesAll(int number, int count, String code) throws Exception {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.OTHER_KEY);
        for (int round = 0; round < count; round++) {
            Response response = caller.get(fleet.host(number), "/telescopes/7");
            assertEquals(code, response.refusal(), response.head());
            Thread.sleep(20);
        }
    }

    /** Runs two operators that both expect version 1 and write at the same time. */
    @When("two operators apply different changes to version 1 at the same time")
    public void applyConcurrently() throws Exception {
        List<Future<ExitCode>> racing = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            CliRunner operator = operator(number);
            operator.writeFile("extra.yaml", team("team-" + number));
            racing.add(fleet.executor.submit(() -> operator.run("apply extra.yaml --expect-version 1")));
        }
        for (Future<ExitCode> code : racing) {
            exitCodes.add(code.get());
        }
    }

    /** Checks that exactly one change was accepted. */
    @Then("one change is accepted and the other operator is told of a conflict")
    public void oneAccepted() {
        int winner = exitCodes.indexOf(ExitCode.DONE);
        assertTrue(winner >= 0, () -> exitCodes + operators.get(0).err());
        assertEquals(ExitCode.REFUSED, exitCodes.get(1 - winner));
        assertTrue(
                operators.get(1 - winner).err().contains("nothing was changed"),
                operators.get(1 - winner).err());
    }

    /** Checks that the accepted change, and no other, is in force. */
    @Then("every host has the accepted change in force as version {int}")
    public void inForce(int version) throws Exception {
        fleet.awaitVersion(version, fleet.hosts());
        String accepted = "team-" + (exitCodes.indexOf(ExitCode.DONE) + 1);
        for (EntryHost host : fleet.hosts()) {
            assertEquals(version, host.snapshot().activeConfiguration().version());
            assertEquals(
                    Set.of("members", accepted),
                    new TreeSet<>(host.snapshot()
                            .activeConfiguration()
                            .configuration()
                            .teams()
                            .keySet()));
        }
    }

    /** Loses the answer to the write of the head; the write itself takes effect. */
    @When("an operator applies a change and the answer to the write is lost")
    public void applyWithLostAnswer() {
        CliRunner operator = operator(1);
        operatorStore.loseNextHeadAnswer();
        operator.writeFile("extra.yaml", team("team-1"));
        exitCodes.add(operator.run("apply extra.yaml --expect-version 1"));
        assertTrue(operatorStore.headAnswerWasLost());
    }

    /** Checks what the operator is told. */
    @Then("the operator is told that version {int} is accepted")
    public void toldAccepted(int version) {
        assertEquals(List.of(ExitCode.DONE), exitCodes, operators.get(0).err());
        assertTrue(
                operators.get(0).out().contains("accepted version: " + version),
                operators.get(0).out());
    }

    private CliRunner operator(int number) {
        operatorStore = new ScenarioStore(fleet.fleet().newStore());
        CliRunner operator = new CliRunner(directory.resolve("operator-" + number), operatorStore, number)
                .withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379")
                .withEnvironmentVariable("AUBURNHOIST_OPERATOR", "operator-" + number);
        operators.add(operator);
        return operator;
    }

    private static String team(String name) {
        return "teams: {" + name + ": {rate-per-second: 5, burst: 5, weight: 1}}\n";
    }

    /**
     * Lets all hosts but the first read stale values, withdraws the key, and waits until every host has adopted that
     * version.
     */
    @Given("the caller's key is withdrawn while the store's cache keeps the former version")
    public void withdrawBehindCache() throws Exception {
        // Only the first host reads the new version from the store; the others get it from their peers.
        fleet.stores.forEach((number, store) -> {
            if (number > 1) {
                store.serveStaleReads();
            }
        });
        fleet.withdrawKey();
        fleet.awaitVersion(2, fleet.hosts());
    }

    /** Waits until a host has read the older version a number of times. */
    @Then("host {int} has read the former version {int} times")
    public void awaitStaleReads(int number, int count) throws Exception {
        int before = fleet.stores.get(number).staleReads();
        TestFleet.await("older values are read", () -> fleet.stores.get(number).staleReads() - before >= count);
    }

    /** Checks that no host has reverted to an older version. */
    @Then("every host still has version {int} in force")
    public void stillInForce(int version) {
        for (EntryHost host : fleet.hosts()) {
            assertEquals(version, host.snapshot().activeConfiguration().version());
        }
    }
}
