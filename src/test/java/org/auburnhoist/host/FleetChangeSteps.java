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
import org.auburnhoist.host.ScenarioCaller.Answer;

/** Steps about changes of the configuration and withdrawn keys. */
public final class FleetChangeSteps {
    private final ScenarioFleet fleet;
    private final Path directory = Files.createTempDirectory("operators");
    private final List<CliRunner> operators = new ArrayList<>();
    private final List<ExitCode> codes = new ArrayList<>();
    private ScenarioCaller withdrawn;
    private ScenarioStore operatorStore;

    /** Shares the scenario's fleet. */
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

    /** Uses the key that will be withdrawn on a connection to each host. */
    @Given("a caller holds an open connection to every host")
    public void openConnections() throws Exception {
        withdrawn = fleet.newCaller(ScenarioFleet.KEY);
        for (EntryHost host : fleet.hosts()) {
            assertEquals(200, withdrawn.get(host, "/telescopes/7").status());
        }
    }

    /** Changes the configuration. */
    @When("the caller's key is withdrawn")
    public void withdraw() throws Exception {
        fleet.withdrawKey();
    }

    /** Waits for the refusal on the connection that was open before. */
    @Then("host {int} refuses the caller on the open connection as {string}")
    public void refuses(int number, String code) throws Exception {
        int opened = withdrawn.connectionsOpened();
        TestFleet.await(
                "host " + number + " refuses as " + code, () -> refusal(number).equals(code));
        long before = fleet.upstream().runCounts().totalRuns();
        for (int round = 0; round < 20; round++) {
            String refusal = refusal(number);
            assertTrue(refusal.equals(code) || refusal.equals("host-isolated"), refusal);
        }
        assertEquals(before, fleet.upstream().runCounts().totalRuns());
        assertEquals(opened, withdrawn.connectionsOpened());
    }

    private String refusal(int number) {
        try {
            return withdrawn.get(fleet.host(number), "/telescopes/7").refusal();
        } catch (IOException cause) {
            throw new IllegalStateException(cause);
        }
    }

    /** Waits until a host serves the other key; it may refuse for a moment while the roster changes. */
    @Then("host(s) {string} serve(s) the team's other key")
    public void servesOther(String numbers) throws Exception {
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

    /** Asks a host that has no configuration. */
    @Then("host {int} refuses {int} requests as {string}")
    public void refusesAll(int number, int count, String code) throws Exception {
        ScenarioCaller caller = fleet.newCaller(ScenarioFleet.OTHER_KEY);
        for (int round = 0; round < count; round++) {
            Answer answer = caller.get(fleet.host(number), "/telescopes/7");
            assertEquals(code, answer.refusal(), answer.head());
            Thread.sleep(20);
        }
    }

    /** Both operators have seen version 1 and write at the same time. */
    @When("two operators apply different changes to version 1 at the same time")
    public void race() throws Exception {
        List<Future<ExitCode>> racing = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            CliRunner operator = operator(number);
            operator.writeFile("extra.yaml", team("team-" + number));
            racing.add(fleet.threads.submit(() -> operator.run("apply extra.yaml --expect-version 1")));
        }
        for (Future<ExitCode> code : racing) {
            codes.add(code.get());
        }
    }

    /** Checks that exactly one change was accepted. */
    @Then("one change is accepted and the other operator is told of a conflict")
    public void oneAccepted() {
        int winner = codes.indexOf(ExitCode.DONE);
        assertTrue(winner >= 0, () -> codes + operators.get(0).err());
        assertEquals(ExitCode.REFUSED, codes.get(1 - winner));
        assertTrue(
                operators.get(1 - winner).err().contains("nothing was changed"),
                operators.get(1 - winner).err());
    }

    /** Checks that the accepted change, and no other, is in force. */
    @Then("every host has the accepted change in force as version {int}")
    public void inForce(int version) throws Exception {
        fleet.awaitVersion(version, fleet.hosts());
        String accepted = "team-" + (codes.indexOf(ExitCode.DONE) + 1);
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

    /** Lets the write of the head take effect without an answer. */
    @When("an operator applies a change and the answer to the write is lost")
    public void lostAnswer() {
        CliRunner operator = operator(1);
        operatorStore.loseNextHeadAnswer();
        operator.writeFile("extra.yaml", team("team-1"));
        codes.add(operator.run("apply extra.yaml --expect-version 1"));
        assertTrue(operatorStore.headAnswerWasLost());
    }

    /** Checks what the operator is told. */
    @Then("the operator is told that version {int} is accepted")
    public void toldAccepted(int version) {
        assertEquals(List.of(ExitCode.DONE), codes, operators.get(0).err());
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

    /** Withdraws the key, lets every host see it, and makes the stores forget it. */
    @Given("the caller's key is withdrawn while the store's cache keeps the former version")
    public void withdrawBehindCache() throws Exception {
        // The first host alone reads the new version; the others get it from their peers.
        fleet.stores.forEach((number, store) -> {
            if (number > 1) {
                store.answerWithOlderValues();
            }
        });
        fleet.withdrawKey();
        fleet.awaitVersion(2, fleet.hosts());
    }

    /** Waits until hosts were given the older version many times. */
    @Then("host {int} has read the former version {int} times")
    public void hasReadOlder(int number, int count) throws Exception {
        int before = fleet.stores.get(number).replays();
        TestFleet.await("older values are read", () -> fleet.stores.get(number).replays() - before >= count);
    }

    /** Checks that no host went back. */
    @Then("every host still has version {int} in force")
    public void stillInForce(int version) {
        for (EntryHost host : fleet.hosts()) {
            assertEquals(version, host.snapshot().activeConfiguration().version());
        }
    }
}
