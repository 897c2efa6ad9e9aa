package org.auburnhoist.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.stream.IntStream;
import org.auburnhoist.simulation.FleetControl;

/** Steps that run the decision logic of several hosts on a simulated network. */
public final class FleetSteps {
    private static final long SEED = 20261204;

    private FleetControl fleet = new FleetControl(SEED, 1);
    private long usedBefore;
    private double lastRun;

    /** Starts hosts, which join one after the other. */
    @Given("a simulated fleet of {int} hosts that has run for {int} seconds")
    public void fleetHasRun(int count, int seconds) {
        fleet = new FleetControl(SEED, count);
        fleet.run(seconds);
    }

    /** Pauses a host's process; its clock continues to run. */
    @When("host {int} is paused for {int} seconds")
    public void pause(int host, int seconds) {
        fleet.pause(host, seconds);
    }

    /** Blocks all connections from and to a host. */
    @When("host {int} is cut off from all hosts")
    public void cutOff(int host) {
        fleet.partition(List.of(host), fleet.allBut(List.of(host)));
    }

    /** Blocks a host's connections to all hosts and to the store. */
    @When("host {int} is cut off from all hosts and from the store")
    public void cutOffFromEverything(int host) {
        cutOff(host);
        fleet.disconnectFromStore(host);
    }

    /** Blocks only a host's connection to the store. */
    @When("host {int} is cut off from the store")
    public void cutOffFromStore(int host) {
        fleet.disconnectFromStore(host);
    }

    /** Partitions the fleet. */
    @When("hosts {int} and {int} are cut off from the others")
    public void cutOffTwo(int first, int second) {
        fleet.partition(List.of(first, second), fleet.allBut(List.of(first, second)));
    }

    /** Makes the store reject all calls. */
    @When("the store is unavailable")
    public void failStore() {
        fleet.failStore();
    }

    /** Writes a new configuration version. */
    @When("the configuration changes")
    public void changeConfiguration() {
        fleet.changeConfiguration();
    }

    /** Starts another incarnation in place of a host. */
    @When("host {int} is replaced")
    public void replace(int host) {
        fleet.replace(host);
    }

    /** Begins the planned stop of a host. */
    @When("host {int} is marked leaving")
    public void markLeaving(int host) {
        fleet.markLeaving(host);
    }

    /** Advances the simulated time. */
    @When("the fleet runs for {int} seconds")
    public void runFor(int seconds) {
        usedBefore = fleet.usedTokens("large");
        lastRun = seconds;
        fleet.run(seconds);
    }

    /** Checks a host just before it handles the first message after a pause. */
    @Then("host {int} is not fresh at the moment it resumes")
    public void notFreshOnResume(int host) {
        fleet.runUntilResumed(host);
        assertFalse(fleet.isFresh(host));
    }

    /** Advances the simulated time and checks one host. */
    @Then("after {int} seconds host {int} is fresh")
    public void freshAfter(int seconds, int host) {
        fleet.run(seconds);
        assertTrue(fleet.isFresh(host));
    }

    /** Checks one host. */
    @Then("host {int} is fresh")
    public void isFresh(int host) {
        assertTrue(fleet.isFresh(host));
    }

    /** Checks one host. */
    @Then("host {int} is not fresh")
    public void isNotFresh(int host) {
        assertFalse(fleet.isFresh(host));
    }

    /** Checks all but one host. */
    @Then("all hosts but host {int} are fresh")
    public void othersAreFresh(int host) {
        assertEquals(fleet.allBut(List.of(host)), freshHosts());
    }

    /** Checks three hosts. */
    @Then("hosts {int}, {int} and {int} are fresh")
    public void threeAreFresh(int first, int second, int third) {
        assertTrue(freshHosts().containsAll(List.of(first, second, third)), () -> "fresh: " + freshHosts());
    }

    /** Checks two hosts. */
    @Then("hosts {int} and {int} are not fresh")
    public void twoAreNotFresh(int first, int second) {
        assertFalse(fleet.isFresh(first) || fleet.isFresh(second), () -> "fresh: " + freshHosts());
    }

    /** Counts the fresh hosts. */
    @Then("at least {int} hosts are fresh")
    public void countFresh(int count) {
        assertTrue(freshHosts().size() >= count, () -> "fresh: " + freshHosts());
    }

    /** Compares the configuration of the fresh hosts with that of the store. */
    @Then("every fresh host has the newest configuration")
    public void freshHostsHaveConfiguration() {
        assertFalse(freshHosts().isEmpty());
        freshHosts().forEach(host -> assertTrue(fleet.hasNewestConfiguration(host), "host " + host));
    }

    /** Checks the violations and the token limits that the simulation records. */
    @Then("no invariant was violated")
    public void noViolation() {
        assertEquals(List.of(), fleet.violations());
        assertTrue(fleet.maxExcess() <= 1e-6, () -> fleet.maxExcess() + " tokens above the limits");
    }

    /** Guards against limits that hold only because no tokens are granted. */
    @Then("the large team has used at least {int}% of its rate in the last hour")
    public void usedOfRate(int percent) {
        long used = fleet.usedTokens("large") - usedBefore;
        assertTrue(used >= lastRun * fleet.ratePerSecond("large") * percent / 100, () -> "used " + used);
    }

    /** Checks the store's roster. */
    @Then("host {int}'s former incarnation owns no shard")
    public void ownsNoShard(int host) {
        assertFalse(fleet.firstIncarnationOwnsShards(host));
    }

    /** Checks that tokens are granted from every shard. */
    @Then("every shard has a host that grants from it")
    public void everyShardGrants() {
        assertEquals(List.of(), fleet.shardsWithoutGrantingHost());
    }

    private List<Integer> freshHosts() {
        return IntStream.range(0, fleet.size()).filter(fleet::isFresh).boxed().toList();
    }
}
