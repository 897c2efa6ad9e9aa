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

/** Steps about a service's dispatcher. */
public final class DispatchSteps {
    private static final long MILLISECOND = 1_000_000L;
    private static final long CRASHING = 666;

    private final SplittableRandom random = new SplittableRandom(5);
    private final SlotDispatcher dispatcher = ServiceDispatcher.create(DispatchSettings.DEFAULT, random.split());
    private final Set<String> leaving = new HashSet<>();
    private final Set<String> failing = new HashSet<>();
    private final Set<String> used = new HashSet<>();
    private final List<SlotVerdict> refusals = new ArrayList<>();
    private Service service;
    private SlotAnswer lastCrashing;
    private int deaths;
    private long now;
    private long tokens;

    /** Starts a dispatcher. */
    @Given("a service of {int} servers with {int} slots each and a floor of {int}%")
    public void service(int servers, int slots, int floor) {
        List<Server> list = IntStream.rangeClosed(1, servers)
                .mapToObj(number -> new Server("s" + number, "a" + number, "dc", false))
                .toList();
        service = new Service("svc", slots, 300, floor / 100.0, DetectionProfile.QUICK, list);
        dispatcher.configure(service, Map.of(), now);
    }

    /** Marks a server in the configuration. */
    @When("server {string} is marked leaving")
    public void markLeaving(String name) {
        leaving.add(name);
        used.clear();
        List<Server> list = service.servers().stream()
                .map(server -> new Server(
                        server.name(), server.address(), server.dataCentre(), leaving.contains(server.name())))
                .toList();
        service = new Service("svc", service.slotsPerServer(), 300, service.floor(), service.profile(), list);
        dispatcher.configure(service, Map.of(), now);
    }

    /** Runs traffic while servers fail. */
    @When("server(s) {string} fail(s) all of its/their requests for {int} seconds")
    public void fail(String names, int seconds) {
        failing.addAll(List.of(names.split(", ")));
        traffic(seconds);
    }

    /** Runs traffic of 100 requests a second, two at a time. */
    @When("requests arrive for {int} seconds")
    public void traffic(int seconds) {
        for (int round = 0; round < seconds * 50; round++) {
            pass(20);
            SlotAnswer first = send(random.nextLong());
            SlotAnswer second = send(random.nextLong());
            finish(first);
            finish(second);
        }
    }

    private void pass(long millis) {
        now += millis * MILLISECOND;
        dispatcher.tick(now);
    }

    private SlotAnswer send(long fingerprint) {
        SlotRequest request =
                new SlotRequest("svc", "route", "team", TrafficClass.LOOKUP, 1000, fingerprint, List.of());
        List<SlotDecision> decisions = dispatcher.request(request, host(tokens), tokens++, now);
        assertEquals(1, decisions.size());
        SlotAnswer answer = decisions.get(0).answer();
        if (answer.verdict() == SlotVerdict.GRANTED) {
            used.add(answer.server());
        } else if (fingerprint != CRASHING) {
            refusals.add(answer.verdict());
        }
        return answer;
    }

    private static HostId host(long token) {
        return new HostId("host-" + token % 4, 1);
    }

    private void finish(SlotAnswer answer) {
        end(answer, failing.contains(answer.server()) ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS);
    }

    private void end(SlotAnswer answer, AttemptOutcome outcome) {
        SlotRelease release = new SlotRelease("svc", answer.grantId(), outcome, 5000);
        for (int host = 0; host < 4; host++) {
            // Only the host that holds the grant can release it.
            dispatcher.release(release, host(host), now);
        }
    }

    /** Sends the crashing request again and again; what runs beside it on the dying server is lost with it. */
    @When("a request that crashes servers is sent {int} times among other traffic")
    public void crash(int times) {
        for (int round = 0; round < times; round++) {
            List<SlotAnswer> others = new ArrayList<>();
            for (int other = 0; other < service.servers().size(); other++) {
                others.add(send(random.nextLong()));
            }
            lastCrashing = send(CRASHING);
            if (lastCrashing.verdict() == SlotVerdict.GRANTED) {
                deaths++;
                others.stream()
                        .filter(answer -> answer.server().equals(lastCrashing.server()))
                        .forEach(answer -> end(answer, AttemptOutcome.CONNECTION_LOST));
                end(lastCrashing, AttemptOutcome.CONNECTION_LOST);
            }
            others.forEach(this::finish);
            traffic(1);
        }
    }

    /** Lets time pass without traffic. */
    @When("{int} seconds pass")
    public void passSeconds(int seconds) {
        pass(seconds * 1000L);
        lastCrashing = send(CRASHING);
    }

    /** Checks the judgement of one server. */
    @Then("server {string} is ejected")
    public void isEjected(String name) {
        assertTrue(dispatcher.ejectedServers().contains(name));
    }

    /** Counts the servers that are neither leaving nor ejected. */
    @Then("{int} servers are in use")
    public void inUse(int count) {
        Set<String> names = new TreeSet<>();
        service.servers().forEach(server -> names.add(server.name()));
        names.removeAll(leaving);
        names.removeAll(dispatcher.ejectedServers());
        assertEquals(count, names.size());
    }

    /** Checks that a server got no work since it was marked. */
    @Then("server {string} got no request after it was marked")
    public void gotNoRequest(String name) {
        assertTrue(!used.contains(name));
    }

    /** Checks the refusals of ordinary traffic. */
    @Then("requests were refused as {string}")
    public void refusedAs(String verdict) {
        assertEquals(Set.of(SlotVerdict.valueOf(verdict)), new HashSet<>(refusals));
    }

    /** Checks that ordinary traffic was not taken for the crashing request. */
    @Then("no other request was refused as {string}")
    public void notRefusedAs(String verdict) {
        assertTrue(!refusals.contains(SlotVerdict.valueOf(verdict)));
    }

    /** Counts deaths. */
    @Then("servers died at most {int} times")
    public void died(int most) {
        assertTrue(deaths <= most, () -> deaths + " deaths");
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
