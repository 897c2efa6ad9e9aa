package org.auburnhoist.core.limit;

import java.util.Map;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.TokenAnswer;

/** Decides whether a request of a team may run now. All methods are called from one thread. */
public interface RateLimiter {
    /** Applies a newer roster. */
    void updateRoster(Roster roster);

    /** Applies the teams of a newer configuration. */
    void configure(Map<String, Team> teams, long nowNanos);

    /** Decides about one request. */
    TokenDecision decide(String team, long nowNanos);

    /**
     * Continues after the owner has answered.
     *
     * @param request the request for tokens that was sent to the owner
     * @param sentAtNanos time before the request was sent
     * @param answer the owner's answer
     * @param nowNanos current time
     */
    TokenDecision onAnswer(TokenDecision.RequestTokens request, long sentAtNanos, TokenAnswer answer, long nowNanos);

    /** Continues after the owner did not answer in time or could not be reached. */
    TokenDecision onNoAnswer(TokenDecision.RequestTokens request, long nowNanos);
}
