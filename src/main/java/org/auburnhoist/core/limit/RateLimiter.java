package org.auburnhoist.core.limit;

import java.util.Map;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.TokenAnswer;

/** Decides whether a request of a team may run now. Called from one thread. */
public interface RateLimiter {
    /** Uses a newer roster. */
    void updateRoster(Roster roster);

    /** Uses the teams of a newer configuration. */
    void configure(Map<String, Team> teams, long nowNanos);

    /** Decides about one request. */
    TokenDecision decide(String team, long nowNanos);

    /**
     * Continues after the owner's answer.
     *
     * @param ask what was asked
     * @param sentAtNanos time before the question was sent
     * @param answer the owner's answer
     * @param nowNanos present time
     */
    TokenDecision onAnswer(TokenDecision.RequestTokens ask, long sentAtNanos, TokenAnswer answer, long nowNanos);

    /** Continues after the owner did not answer in time or could not be reached. */
    TokenDecision onNoAnswer(TokenDecision.RequestTokens ask, long nowNanos);
}
