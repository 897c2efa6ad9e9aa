package org.auburnhoist.core.limit;

import org.auburnhoist.core.HostId;

/** What to do about a request that needs a token. */
public sealed interface TokenDecision {

    /** The request has its token. */
    record Admit() implements TokenDecision {
        /** The only value. */
        public static final Admit INSTANCE = new Admit();
    }

    /**
     * The owner of a bucket must be asked.
     *
     * @param owner host to ask, perhaps this one
     * @param team team name
     * @param bucket 0 or 1
     * @param wanted number of tokens to ask for, the first of them for this request
     * @param isSecondBucket whether the other bucket was asked for this request already
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
