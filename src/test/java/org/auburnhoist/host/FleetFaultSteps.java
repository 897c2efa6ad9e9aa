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

/** Steps that start a fleet and inject faults. */
public final class FleetFaultSteps {
    private final ScenarioFleet fleet;
    private CompletableFuture<Void> stopped = new CompletableFuture<>();

    /** Uses the fleet that the steps of a scenario share. */
    public FleetFaultSteps(ScenarioFleet fleet) {
        this.fleet = fleet;
    }

    /** Starts hosts and servers. */
    @Given("{int} entry hosts in front of {int} servers")
    public void start(int hosts, int servers) throws Exception {
        fleet.start(hosts, servers);
    }

    /** Starts hosts with a rate limit that the scenario reaches. */
    @Given("{int} entry hosts and a team with rate {int} and burst {int}")
    public void startWithLimit(int hosts, int rate, int burst) throws Exception {
        fleet.setRateLimit(rate, burst);
        fleet.start(hosts, 1);
    }

    /** Closes all connections and processes. */
    @After
    public void close() throws Exception {
        fleet.close();
    }

    /** Makes a server return errors after it has run the requests. */
    @Given("server {string} fails all requests after it ran them")
    public void failRequests(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.FailShare(1));
    }

    /** Makes a server close connections in the middle of responses. */
    @Given("server {string} truncates half of its answers")
    public void truncateResponses(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.TruncateBody(0.5));
    }

    /** Delays responses beyond the route's timeout of 300 ms. */
    @Given("server {string} sends half of its answers 400 ms late")
    public void delayResponses(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.LateAnswer(0.5, Duration.ofMillis(400)));
    }

    /** Makes a server accept requests and never respond. */
    @Given("server {string} never answers")
    public void neverRespond(String server) {
        fleet.upstream().server(server).setGrayMode(new GrayMode.NeverAnswer(1));
    }

    /** Crashes a server, which is down for half a second. */
    @When("server {string} crashes")
    public void crash(String server) {
        fleet.upstream().server(server).crash();
    }

    /** Makes the store unreachable for all hosts. */
    @When("no host can reach the store")
    public void failStore() {
        fleet.fleet().storeEmulator().refuseConnections();
    }

    /** Ends the outage of the store. */
    @When("the store can be reached again")
    public void restoreStore() throws Exception {
        fleet.fleet().storeEmulator().acceptConnections();
    }

    /**
     * Waits until the freshness of every host has advanced by twice the limit; without the store, only its peers can
     * advance it.
     */
    @When("twice the freshness limit passes at every host")
    public void awaitFreshnessLimit() throws Exception {
        long passed = 2 * ScenarioFleet.MEMBERSHIP.freshnessLimit().toNanos();
        Map<EntryHost, Long> before = new HashMap<>();
        fleet.hosts().forEach(host -> before.put(host, host.snapshot().freshUntilNanos()));
        for (EntryHost host : fleet.hosts()) {
            TestFleet.await("freshness advances", () -> host.snapshot().freshUntilNanos() - before.get(host) > passed);
        }
    }

    /** Disconnects one host from the store. */
    @When("host {int} cannot reach the store")
    public void disconnectFromStore(int host) {
        fleet.stores.get(host).disconnect();
    }

    /** Blocks calls from one host to all others, but not in the opposite direction. */
    @When("host {int} cannot ask the other hosts, although they can ask it")
    public void blockOutgoingCalls(int host) {
        for (int other = 1; other <= 5; other++) {
            fleet.blockLink(host, other);
        }
    }

    /** Blocks calls between one host and all others in both directions. */
    @When("host {int} and the other hosts cannot ask each other")
    public void partitionHost(int host) {
        for (int other = 1; other <= 5; other++) {
            fleet.blockLink(host, other);
            fleet.blockLink(other, host);
        }
    }

    /** Closes a host immediately, as a crash would. */
    @When("host {int} dies")
    public void kill(int host) {
        fleet.kill(fleet.host(host));
    }

    /** Closes the hosts that own the team's token buckets. */
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

    /**
     * Waits until the roster is settled. Until then, a quorum also needs a majority of the first roster, whose only
     * member is the first host.
     */
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

    /** Waits until the planned stop has completed. */
    @Then("host {int} has stopped")
    public void awaitStopped(int host) throws Exception {
        TestFleet.await("host " + host + " stops", stopped::isDone);
        stopped.get();
        fleet.removeStopped(host);
    }

    /** Marks a server as leaving in the configuration and waits until all hosts have adopted the change. */
    @When("server {string} is marked leaving and the change is in force")
    public void markLeaving(String server) throws Exception {
        fleet.leaving.addAll(new TreeSet<>(List.of(server)));
        fleet.fleet().apply(fleet.configuration());
        fleet.awaitVersion(2, fleet.hosts());
    }
}
