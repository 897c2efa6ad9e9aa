package org.auburnhoist.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.operation.OperationHome;
import org.auburnhoist.core.operation.OperationSettings;

/** Steps for scenarios with operations that must run at most once. */
public final class OperationSteps {
    private final Map<String, HostId> hosts = new HashMap<>();
    private final Map<String, OperationHome> homes = new HashMap<>();
    private final Map<String, ClaimAnswer> answers = new HashMap<>();
    private final Map<String, Long> attempts = new HashMap<>();
    private String home = "";
    private String operation = "";
    private long now;
    private long nextNumber;

    /** Starts three hosts. */
    @Given("the entry hosts {string}, {string} and {string}")
    public void hosts(String first, String second, String third) {
        List.of(first, second, third).forEach(this::restart);
    }

    /** Restarts a host as a new incarnation without any records. */
    @When("{string} restarts")
    public void restart(String host) {
        hosts.put(host, new HostId(host, nextNumber++));
        homes.put(
                host,
                new OperationHome(hosts.get(host), now, OperationSettings.DEFAULT, new SplittableRandom(nextNumber)));
    }

    /** Issues an operation id. */
    @Given("an operation issued by {string}")
    public void issue(String host) {
        home = host;
        operation = homes.get(host).issue(now).encode();
    }

    /** Claims the operation at the host that issued it. */
    @When("{string} claims the operation")
    public void claim(String host) {
        claimAt(host, home);
    }

    /** Claims the operation at a given host. */
    @When("{string} claims the operation at {string}")
    public void claimAt(String host, String asked) {
        attempts.put(host, nextNumber++);
        ClaimRequest request = new ClaimRequest(operation, "team", 1, attempts.get(host));
        answers.put(host, homes.get(asked).claim(request, hosts.get(host), now));
    }

    /** Reports an upstream's answer. */
    @When("{string} reports the answer {int}")
    public void reportAnswer(String host, int status) {
        report(host, ClaimResult.ANSWERED, new RecordedResponse(status, List.of(), new byte[0], true));
    }

    /** Releases the claim, since nothing was sent to an upstream. */
    @When("{string} reports that nothing was sent")
    public void releaseClaim(String host) {
        report(host, ClaimResult.NOT_RUN, null);
    }

    private void report(String host, ClaimResult result, RecordedResponse answer) {
        ClaimOutcome outcome = new ClaimOutcome(operation, attempts.get(host), result, answer);
        homes.get(home).recordOutcome(outcome, hosts.get(host), now);
    }

    /** Removes a host from the roster. */
    @When("{string} is removed from the roster")
    public void remove(String host) {
        homes.values().forEach(receiver -> receiver.memberRemoved(hosts.get(host), now));
    }

    /** Hands the operation records of one host over to another. */
    @When("{string} hands over to {string}")
    public void handOver(String from, String to) {
        homes.get(from).export(hosts.get(to), now).forEach(part -> homes.get(to).importPart(part, now));
    }

    /** Advances the simulated clock. */
    @When("{int} seconds go by")
    public void advanceTime(int seconds) {
        now += seconds * 1_000_000_000L;
    }

    /** Checks the verdict on the last claim of a host. */
    @Then("{string} is told {string}")
    public void isTold(String host, String verdict) {
        assertEquals(verdict, answers.get(host).verdict().name());
    }

    /** Checks the verdict on the last claim of a host and the status of the replayed answer. */
    @Then("{string} is told {string} with status {int}")
    public void isToldWithStatus(String host, String verdict, int status) {
        isTold(host, verdict);
        assertNotNull(answers.get(host).recorded());
        assertEquals(status, answers.get(host).recorded().status());
    }
}
