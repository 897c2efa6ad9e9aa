package org.auburnhoist.core.message;

/**
 * Answer of a service's dispatcher.
 *
 * @param verdict what was decided
 * @param server name of the granted server, empty without a grant
 * @param grantId names the grant in the later release, 0 without a grant
 * @param retryAfterMillis when the caller should come back, if refused
 */
public record SlotAnswer(SlotVerdict verdict, String server, long grantId, long retryAfterMillis) implements Message {}
