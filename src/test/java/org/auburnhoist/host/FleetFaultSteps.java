package org.auburnhoist.host;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.limit.TokenReserves;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.emulator.GrayMode;

/** Steps that start a fleet and make its parts fail. */
public final class FleetFaultSteps {
    private final ScenarioFleet fleet;
    private CompletableFuture<Void> stopped = new CompletableFuture<>();

    /** Shares the scenario's fleet. */
    public FleetFaultSteps(ScenarioFleet fleet) {
        this.fleet = fleet;
    }

    /** Starts hosts and servers. */
    @Given("{int} entry hosts in front of {int} servers")
    public void start(int hosts, int servers) throws Exception {
        fleet.start(hosts, servers);
    }

    /** Starts hosts with a rate that matters. */
    @Given("{int} entry hosts and a team with rate {int} and burst {int}")
    public void startWithLimit(int hosts, int rate, int burst) throws Exception {
        fleet.limit(rate, burst);
        fleet.start(hosts, 1);
    }

    /** Closes all connections and processes. */
    @After
    public void close() throws Exception {
        fleet.close();
    }

    /** Makes a server fail after the work ran. */
    @Given("server {string} fails all requests after it ran them")
    public void fail(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.FailShare(1));
    }

    /** Makes a server break connections in the middle of answers. */
    @Given("server {string} truncates half of its answers")
    public void truncate(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.TruncateBody(0.5));
    }

    /** Makes answers come after the route's time limit of 300 ms. */
    @Given("server {string} sends half of its answers 400 ms late")
    public void late(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.LateAnswer(0.5, Duration.ofMillis(400)));
    }

    /** Makes a server hold work for ever. */
    @Given("server {string} never answers")
    public void never(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.NeverAnswer(1));
    }

    /** Takes a server down for half a second. */
    @When("server {string} crashes")
    public void crash(String server) {
        fleet.upstream().server(server).crash();
    }

    /** Cuts the store for all hosts. */
    @When("no host can reach the store")
    public void storeAway() {
        fleet.fleet().storeEmulator().refuseConnections();
    }

    /** Ends the outage. */
    @When("the store can be reached again")
    public void storeBack() throws Exception {
        fleet.fleet().storeEmulator().acceptConnections();
    }

    /** Lets the hosts live on each other's knowledge alone. */
    @When("twice the freshness limit passes at every host")
    public void limitPasses() throws Exception {
        long passed = 2 * ScenarioFleet.MEMBERSHIP.freshnessLimit().toNanos();
        Map<EntryHost, Long> before = new HashMap<>();
        fleet.hosts().forEach(host -> before.put(host, host.snapshot().freshUntilNanos()));
        for (EntryHost host : fleet.hosts()) {
            TestFleet.await("freshness advances", () -> host.snapshot().freshUntilNanos() - before.get(host) > passed);
        }
    }

    /** Cuts one host from the store. */
    @When("host {int} cannot reach the store")
    public void cutFromStore(int host) {
        fleet.stores.get(host).cut();
    }

    /** Cuts one way only. */
    @When("host {int} cannot ask the other hosts, although they can ask it")
    public void cutOneWay(int host) {
        for (int other = 1; other <= 5; other++) {
            fleet.cutLink(host, other);
        }
    }

    /** Cuts both ways. */
    @When("host {int} and the other hosts cannot ask each other")
    public void cutBothWays(int host) {
        for (int other = 1; other <= 5; other++) {
            fleet.cutLink(host, other);
            fleet.cutLink(other, host);
        }
    }

    /** Ends a host as a failure does. */
    @When("host {int} dies")
    public void kill(int host) {
        fleet.kill(fleet.host(host));
    }

    /** Ends the hosts that grant the team's tokens. */
    @When("both hosts that own the team's buckets die")
    public void killOwners() {
        List<HostId> owners =
                TokenReserves.owners(fleet.hosts().iterator().next().snapshot().roster(), "members");
        fleet.hosts().stream().filter(host -> owners.contains(host.id())).forEach(fleet::kill);
    }

    /** Starts a host while the fleet runs. */
    @When("host {int} is started")
    public void startHost(int host) throws Exception {
        fleet.startHost(host);
    }

    /** Waits for removals and joins. */
    @When("the roster holds the {int} running hosts")
    public void awaitMembers(int count) throws Exception {
        fleet.awaitMembers(count);
    }

    /** Until then a quorum needs a majority of the first roster too, which is the first host alone. */
    @Given("the roster of {int} members is settled")
    public void awaitSettled(int count) throws Exception {
        for (EntryHost host : fleet.hosts()) {
            TestFleet.await("the roster is settled", () -> {
                Roster roster = host.snapshot().roster();
                return roster.members().size() == count && !roster.hasChangesUpTo(roster.version());
            });
        }
    }

    /** Begins a planned stop. */
    @When("host {int} begins a planned stop")
    public void stop(int host) {
        stopped = fleet.host(host).stop();
    }

    /** Waits for the end of the planned stop. */
    @Then("host {int} has stopped")
    public void awaitStopped(int host) throws Exception {
        TestFleet.await("host " + host + " stops", stopped::isDone);
        stopped.get();
        fleet.forget(host);
    }

    /** Marks a server in the configuration and waits until all hosts have it in force. */
    @When("server {string} is marked leaving and the change is in force")
    public void markLeaving(String server) throws Exception {
        fleet.leaving.addAll(new TreeSet<>(List.of(server)));
        fleet.fleet().apply(fleet.configuration());
        fleet.awaitVersion(2, fleet.hosts());
    }
}
