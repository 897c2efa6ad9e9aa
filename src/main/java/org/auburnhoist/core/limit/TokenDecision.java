package org.auburnhoist.core.limit;

import org.auburnhoist.core.HostId;

/** Decision about a request that needs a token. */
public sealed interface TokenDecision {

    /** The request has a token and may run. */
    record Admit() implements TokenDecision {
        /** The only instance. */
        public static final Admit INSTANCE = new Admit();
    }

    /**
     * Tokens must be requested from the owner of a bucket.
     *
     * @param owner host to ask, possibly this one
     * @param team team name
     * @param bucket 0 or 1
     * @param wanted number of tokens to request, the first of them for this request
     * @param isSecondBucket whether the other bucket was already asked for this request
     */
    record RequestTokens(HostId owner, String team, int bucket, int wanted, boolean isSecondBucket)
            implements TokenDecision {}

    /**
     * The request is refused.
     *
     * @param retryAfterMillis time after which a token may be available
     */
    record Refuse(long retryAfterMillis) implements TokenDecision {}
}
