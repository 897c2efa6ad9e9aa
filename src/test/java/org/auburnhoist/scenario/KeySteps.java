package org.auburnhoist.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.datatable.DataTable;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.AccessDecision;
import org.auburnhoist.core.configuration.AccessPolicy;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.Key;
import org.auburnhoist.core.configuration.Route;
import org.auburnhoist.core.configuration.Sha256;

/** Steps about keys and routes. */
public final class KeySteps {
    private Map<String, Key> keys = Map.of();
    private AccessPolicy policy = policy(Map.of(), List.of());
    private String result = "";

    /** Declares keys. */
    @Given("an applied configuration with these keys")
    public void keys(DataTable table) {
        keys = table.asMaps().stream()
                .map(row -> new Key(
                        row.get("id"),
                        row.get("team"),
                        Sha256.hex(row.get("secret")),
                        Boolean.parseBoolean(row.get("withdrawn"))))
                .collect(Collectors.toMap(Key::id, key -> key));
    }

    /** Declares routes. */
    @Given("these routes")
    public void routes(DataTable table) {
        policy = policy(keys, table.asMaps().stream().map(KeySteps::route).toList());
    }

    /** Authorises a request by its method, path and key. */
    @When("a request for {string} has the authorization {string}")
    public void request(String line, String authorization) {
        String[] words = line.split(" ");
        AccessDecision decision = policy.decide(words[0], words[1], authorization);
        if (decision instanceof AccessDecision.AllowedForTeam allowed) {
            result = allowed.team();
        } else if (decision instanceof AccessDecision.Refused refused) {
            result = "nobody: " + refused.refusal().code();
        } else {
            result = decision instanceof AccessDecision.AllowedAnonymously ? "anyone" : "the fleet itself";
        }
    }

    /** Compares the access decision. */
    @Then("it runs for {string}")
    public void runsFor(String expected) {
        assertEquals(expected, result);
    }

    private static AccessPolicy policy(Map<String, Key> keys, List<Route> routes) {
        return AccessPolicy.of(new FleetConfiguration(1, Map.of(), keys, Map.of(), routes));
    }

    private static Route route(Map<String, String> row) {
        String callers = row.get("callers");
        boolean every = callers.equals("anyone") || callers.equals("every-team");
        return new Route(
                row.get("name"),
                Set.of(row.get("method")),
                row.get("path"),
                "service",
                row.get("method").equals("POST") ? TrafficClass.BOOKING : TrafficClass.LOOKUP,
                callers.equals("anyone"),
                every ? Set.of() : Set.of(callers),
                Duration.ofSeconds(1));
    }
}
