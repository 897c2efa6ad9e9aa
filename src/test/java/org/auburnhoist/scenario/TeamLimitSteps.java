package org.auburnhoist.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Map;
import java.util.Optional;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.limit.LimitSettings;
import org.auburnhoist.core.limit.OwnershipPeriod;
import org.auburnhoist.core.limit.ShardView;
import org.auburnhoist.core.limit.TokenBuckets;
import org.auburnhoist.core.message.TokenRequest;

/** Steps that change the declared limits of a team and check the buckets of one owner. */
public final class TeamLimitSteps {
    private static final long SECOND = 1_000_000_000L;

    private final TokenBuckets buckets = new TokenBuckets(new OwnerOfAll(), LimitSettings.STANDARD);
    private Team team = new Team("unused", 1, 1, 1);
    private long now = 5 * SECOND;
    private int granted;

    /** Declares the only team. */
    @Given("a team {string} with rate {int} and burst {int}")
    public void declare(String name, int rate, int burst) {
        team = new Team(name, rate, burst, 1);
        buckets.configure(Map.of(name, team), now);
    }

    /** Requests tokens from both buckets at the same time. */
    @When("the team asks for {int} tokens")
    public void ask(int count) {
        granted = 0;
        for (int number = 0; number < count; number++) {
            for (int bucket = 0; bucket < 2; bucket++) {
                granted += buckets.request(new TokenRequest(team.name(), bucket, 1), now)
                        .granted();
            }
        }
    }

    /** Applies two configurations, one without the team. */
    @When("the team is removed and added again after {int} second(s)")
    public void removeAndAdd(int seconds) {
        buckets.configure(Map.of(), now);
        now += seconds * SECOND;
        buckets.configure(Map.of(team.name(), team), now);
    }

    /** Applies a configuration with another burst. */
    @When("the team's burst becomes {int}")
    public void changeBurst(int burst) {
        declare(team.name(), (int) team.ratePerSecond(), burst);
    }

    /** Compares with the tokens granted by the last step that asked for tokens. */
    @Then("{int} tokens are granted")
    public void grantedIs(int expected) {
        assertEquals(expected, granted);
    }

    /** The view of a host that has owned all shards from the start. */
    private static final class OwnerOfAll implements ShardView {
        @Override
        public int shardCount() {
            return 64;
        }

        @Override
        public Optional<OwnershipPeriod> activePeriod(int shard, long nowNanos) {
            return Optional.of(new OwnershipPeriod(0, 0, true));
        }
    }
}
