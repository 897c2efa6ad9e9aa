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
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Key;
import org.auburnhoist.core.configuration.KeyCheck;
import org.auburnhoist.core.configuration.KeyRing;
import org.auburnhoist.core.configuration.Route;
import org.auburnhoist.core.configuration.RouteMatch;
import org.auburnhoist.core.configuration.RouteTable;
import org.auburnhoist.core.configuration.Sha256;

/** Steps about keys and routes. */
public final class KeySteps {
    private KeyRing ring = KeyRing.of(List.of());
    private RouteTable table = RouteTable.of(List.of());
    private String result = "";

    /** Declares keys. */
    @Given("an applied configuration with these keys")
    public void keys(DataTable keys) {
        ring = KeyRing.of(keys.asMaps().stream()
                .map(row -> new Key(
                        row.get("id"),
                        row.get("team"),
                        Sha256.hex(row.get("secret")),
                        Boolean.parseBoolean(row.get("withdrawn"))))
                .toList());
    }

    /** Declares routes. */
    @Given("these routes")
    public void routes(DataTable routes) {
        table = RouteTable.of(routes.asMaps().stream().map(KeySteps::route).toList());
    }

    /** Decides about a request from its path and key. */
    @When("{string} comes with {string}")
    public void request(String line, String authorization) {
        String[] words = line.split(" ");
        RouteMatch match = table.match(words[0], words[1]);
        if (match instanceof RouteMatch.Found found) {
            result = decide(found.route(), authorization);
        } else {
            boolean malformed = match instanceof RouteMatch.Malformed;
            result = refused(malformed ? Refusal.MALFORMED_REQUEST : Refusal.ROUTE_UNKNOWN);
        }
    }

    /** Compares the decision. */
    @Then("it runs for {string}")
    public void runsFor(String expected) {
        assertEquals(expected, result);
    }

    private String decide(Route route, String authorization) {
        if (route.open()) {
            return "anyone";
        }
        KeyCheck check = ring.check(authorization);
        if (check instanceof KeyCheck.Accepted accepted) {
            boolean allowed = route.teams().isEmpty() || route.teams().contains(accepted.team());
            return allowed ? accepted.team() : refused(Refusal.TEAM_NOT_ALLOWED);
        }
        if (check instanceof KeyCheck.Withdrawn) {
            return refused(Refusal.KEY_WITHDRAWN);
        }
        return refused(check instanceof KeyCheck.Missing ? Refusal.KEY_MISSING : Refusal.KEY_UNKNOWN);
    }

    private static String refused(Refusal refusal) {
        return "nobody: " + refusal.code();
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
