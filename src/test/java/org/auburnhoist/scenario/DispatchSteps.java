package org.auburnhoist.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.DetectionProfile;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.dispatch.DispatchSettings;
import org.auburnhoist.core.dispatch.ServiceDispatcher;
import org.auburnhoist.core.dispatch.SlotDecision;
import org.auburnhoist.core.dispatch.SlotDispatcher;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;

/** Step definitions for the dispatcher of a service. */
public final class DispatchSteps {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long CRASHING = 666;

    private final SplittableRandom random = new SplittableRandom(5);
    private final SlotDispatcher dispatcher = ServiceDispatcher.create(DispatchSettings.DEFAULT, random.split());
    private final Set<String> leavingServers = new HashSet<>();
    private final Set<String> failingServers = new HashSet<>();
    private final Set<String> usedServers = new HashSet<>();
    private final List<SlotVerdict> refusals = new ArrayList<>();
    private Service service;
    private SlotAnswer lastCrashing;
    private int crashes;
    private long now;
    private long tokens;

    /** Configures a dispatcher. */
    @Given("a service of {int} servers with {int} slots each and a floor of {int}%")
    public void service(int servers, int slots, int floor) {
        List<Server> list = IntStream.rangeClosed(1, servers)
                .mapToObj(number -> new Server("s" + number, "a" + number, "dc", false))
                .toList();
        service = new Service("svc", slots, 300, floor / 100.0, DetectionProfile.QUICK, list);
        dispatcher.configure(service, Map.of(), now);
    }

    /** Marks a server as leaving in the configuration. */
    @When("server {string} is marked leaving")
    public void markLeaving(String name) {
        leavingServers.add(name);
        usedServers.clear();
        List<Server> list = service.servers().stream()
                .map(server -> new Server(
                        server.name(), server.address(), server.dataCentre(), leavingServers.contains(server.name())))
                .toList();
        service = new Service("svc", service.slotsPerServer(), 300, service.floor(), service.profile(), list);
        dispatcher.configure(service, Map.of(), now);
    }

    /** Runs traffic while servers fail. */
    @When("server(s) {string} fail(s) all of its/their requests for {int} seconds")
    public void fail(String names, int seconds) {
        failingServers.addAll(List.of(names.split(", ")));
        traffic(seconds);
    }

    /** Sends 100 requests per second, two at a time. */
    @When("requests arrive for {int} seconds")
    public void traffic(int seconds) {
        for (int round = 0; round < seconds * 50; round++) {
            advance(20);
            SlotAnswer first = send(random.nextLong());
            SlotAnswer second = send(random.nextLong());
            complete(first);
            complete(second);
        }
    }

    private void advance(long millis) {
        now += millis * NANOS_PER_MILLI;
        dispatcher.tick(now);
    }

    private SlotAnswer send(long fingerprint) {
        SlotRequest request =
                new SlotRequest("svc", "route", "team", TrafficClass.LOOKUP, 1000, fingerprint, List.of());
        List<SlotDecision> decisions = dispatcher.request(request, host(tokens), tokens++, now);
        assertEquals(1, decisions.size());
        SlotAnswer answer = decisions.get(0).answer();
        if (answer.verdict() == SlotVerdict.GRANTED) {
            usedServers.add(answer.server());
        } else if (fingerprint != CRASHING) {
            refusals.add(answer.verdict());
        }
        return answer;
    }

    private static HostId host(long token) {
        return new HostId("host-" + token % 4, 1);
    }

    private void complete(SlotAnswer answer) {
        end(answer, failingServers.contains(answer.server()) ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS);
    }

    private void end(SlotAnswer answer, AttemptOutcome outcome) {
        SlotRelease release = new SlotRelease("svc", answer.grantId(), outcome, 5000);
        for (int host = 0; host < 4; host++) {
            // Only the host that holds the grant can release it.
            dispatcher.release(release, host(host), now);
        }
    }

    /** Sends the crashing request repeatedly; requests in flight on the crashing server are lost with it. */
    @When("a request that crashes servers is sent {int} times among other traffic")
    public void crash(int times) {
        for (int round = 0; round < times; round++) {
            List<SlotAnswer> others = new ArrayList<>();
            for (int other = 0; other < service.servers().size(); other++) {
                others.add(send(random.nextLong()));
            }
            lastCrashing = send(CRASHING);
            if (lastCrashing.verdict() == SlotVerdict.GRANTED) {
                crashes++;
                others.stream()
                        .filter(answer -> answer.server().equals(lastCrashing.server()))
                        .forEach(answer -> end(answer, AttemptOutcome.CONNECTION_LOST));
                end(lastCrashing, AttemptOutcome.CONNECTION_LOST);
            }
            others.forEach(this::complete);
            traffic(1);
        }
    }

    /** Advances time without traffic and sends the crashing request. */
    @When("{int} seconds pass")
    public void advanceSeconds(int seconds) {
        advance(seconds * 1000L);
        lastCrashing = send(CRASHING);
    }

    /** Checks that a server is ejected. */
    @Then("server {string} is ejected")
    public void isEjected(String name) {
        assertTrue(dispatcher.ejectedServers().contains(name));
    }

    /** Counts the servers that are neither leaving nor ejected. */
    @Then("{int} servers are in use")
    public void inUse(int count) {
        Set<String> names = new TreeSet<>();
        service.servers().forEach(server -> names.add(server.name()));
        names.removeAll(leavingServers);
        names.removeAll(dispatcher.ejectedServers());
        assertEquals(count, names.size());
    }

    /** Checks that a server got no request since it was marked as leaving. */
    @Then("server {string} got no request after it was marked")
    public void gotNoRequest(String name) {
        assertTrue(!usedServers.contains(name));
    }

    /** Checks the refusals of the other requests. */
    @Then("requests were refused as {string}")
    public void refusedAs(String verdict) {
        assertEquals(Set.of(SlotVerdict.valueOf(verdict)), new HashSet<>(refusals));
    }

    /** Checks that no other request was refused as the crashing request is. */
    @Then("no other request was refused as {string}")
    public void notRefusedAs(String verdict) {
        assertTrue(!refusals.contains(SlotVerdict.valueOf(verdict)));
    }

    /** Checks the number of crashes. */
    @Then("servers crashed at most {int} times")
    public void crashedAtMost(int most) {
        assertTrue(crashes <= most, () -> crashes + " crashes");
    }

    /** Checks the last answer to the crashing request. */
    @Then("the crashing request is refused as {string}")
    public void crashingRefused(String verdict) {
        assertEquals(SlotVerdict.valueOf(verdict), lastCrashing.verdict());
    }

    /** Checks that the quarantine has ended. */
    @Then("the crashing request is accepted")
    public void crashingAccepted() {
        assertEquals(SlotVerdict.GRANTED, lastCrashing.verdict());
    }
}
