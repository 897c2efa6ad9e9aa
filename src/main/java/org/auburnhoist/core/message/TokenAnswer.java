package org.auburnhoist.core.message;

/**
 * Answer to a {@link TokenRequest}.
 *
 * @param owner whether the answering host owns the bucket and may grant tokens
 * @param granted number of tokens that the requesting host may use now
 * @param retryAfterMillis time until the next token, if none was granted
 * @param ownerAddress peer address of the host that owns the bucket now, if the answering host has handed it over;
 *     empty if unknown
 */
public record TokenAnswer(boolean owner, int granted, long retryAfterMillis, String ownerAddress) implements Message {
    /** Creates an answer that does not name another owner. */
    public TokenAnswer(boolean owner, int granted, long retryAfterMillis) {
        this(owner, granted, retryAfterMillis, "");
    }
}
