package org.auburnhoist.core.message;

/**
 * Answer of a bucket's owner.
 *
 * @param owner whether the answering host owns the bucket and may grant tokens
 * @param granted tokens that the asking host may now spend
 * @param retryAfterMillis time until the next token, if none was granted
 * @param ownerAddress peer address of the host that owns the bucket now, if the answering host has handed it over;
 *     empty if unknown
 */
public record TokenAnswer(boolean owner, int granted, long retryAfterMillis, String ownerAddress) implements Message {
    /** An answer that names no other host. */
    public TokenAnswer(boolean owner, int granted, long retryAfterMillis) {
        this(owner, granted, retryAfterMillis, "");
    }
}
