package org.auburnhoist.core.message;

/**
 * Answer of a bucket's owner.
 *
 * @param owner whether the answering host owns the bucket and may grant tokens
 * @param granted tokens that the asking host may now spend
 * @param retryAfterMillis time until the next token, if none was granted
 */
public record TokenAnswer(boolean owner, int granted, long retryAfterMillis) implements Message {}
