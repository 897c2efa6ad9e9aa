package org.auburnhoist.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Then;
import java.util.Arrays;
import org.auburnhoist.core.Refusal;

/** Steps about the codes of refusals. */
public final class RefusalSteps {
    /** Compares one refusal with its documented status and outcome. */
    @Then("the refusal {string} has status {int} and outcome {string}")
    public void refusalHas(String code, int status, String outcome) {
        Refusal refusal = Arrays.stream(Refusal.values())
                .filter(candidate -> candidate.code().equals(code))
                .findFirst()
                .orElseThrow();
        assertEquals(status, refusal.status());
        assertEquals(outcome, refusal.outcome().headerValue());
    }
}
