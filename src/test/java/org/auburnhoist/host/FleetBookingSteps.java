package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.auburnhoist.host.ScenarioCaller.Response;

/** Steps about bookings that run for 1.5 seconds. */
public final class FleetBookingSteps {
    private static final String PATH = "/bookings?workMillis=1500";

    private final ScenarioFleet fleet;
    private final List<Future<Response>> running = new ArrayList<>();
    private final List<String> operations = new ArrayList<>();
    private final ScenarioCaller retryCaller;
    private Response lastResponse;

    /** Uses the fleet that the steps of a scenario share. */
    public FleetBookingSteps(ScenarioFleet fleet) {
        this.fleet = fleet;
        retryCaller = fleet.newCaller(ScenarioFleet.KEY);
    }

    /** Sends bookings and waits until servers run them. */
    @Given("{int} booking(s) issued by host {int} run(s) through host {int}")
    public void runBooking(int count, int home, int runner) throws Exception {
        for (int number = 0; number < count; number++) {
            ScenarioCaller caller = fleet.newCaller(ScenarioFleet.KEY);
            String operation = caller.call(fleet.host(home), "POST", PATH, "").header("Operation-Id");
            operations.add(operation);
            EntryHost host = fleet.host(runner);
            running.add(fleet.executor.submit(() -> caller.call(host, "POST", PATH, operation)));
        }
        for (String operation : operations) {
            TestFleet.await(
                    "a server runs the booking",
                    () -> fleet.upstream().runCounts().runsOf(operation) > 0);
        }
    }

    /** Waits for the responses to the first requests. */
    @Then("the booking(s) is/are answered")
    public void bookingsAreAnswered() throws Exception {
        for (Future<Response> booking : running) {
            assertEquals(200, booking.get().status(), booking.get().head());
        }
    }

    /** Sends the first booking again. */
    @When("the booking is sent again through host {int}")
    public void sendAgain(int host) throws Exception {
        lastResponse = resend(host);
    }

    private Response resend(int host) throws Exception {
        return retryCaller.call(fleet.host(host), "POST", PATH, operations.get(0));
    }

    /** Checks the last response. */
    @Then("it is refused as {string}")
    public void refusedAs(String code) {
        assertEquals(code, lastResponse.refusal(), lastResponse.head());
    }

    /** Sends the first booking again until its outcome is settled. */
    @Then("sent again through host {int} until it no longer runs, it is refused as {string}")
    public void awaitRefusal(int host, String code) throws Exception {
        do {
            Thread.sleep(20);
            lastResponse = resend(host);
        } while (lastResponse.refusal().equals("operation-running")
                || lastResponse.refusal().equals("host-isolated"));
        assertEquals(code, lastResponse.refusal(), lastResponse.head());
    }

    /** Compares the last response with the first one. */
    @Then("sent again through host {int} until it no longer runs, it gets the first answer")
    public void awaitRecordedResponse(int host) throws Exception {
        awaitRefusal(host, "");
        assertEquals(running.get(0).get().text(), lastResponse.text());
    }

    /** Checks the upstream servers' record of runs. */
    @Then("the booking ran once")
    public void ranOnce() {
        assertEquals(1, fleet.upstream().runCounts().runsOf(operations.get(0)));
        assertTrue(fleet.upstream().runCounts().duplicates().isEmpty());
    }

    /** Checks who ran the bookings. */
    @Then("one of them was answered by server {string}")
    public void answeredBy(String server) throws Exception {
        List<String> servers = new ArrayList<>();
        for (Future<Response> booking : running) {
            servers.add(booking.get().header("Upstream-Server"));
        }
        assertTrue(servers.contains(server), () -> "servers: " + servers);
    }
}
