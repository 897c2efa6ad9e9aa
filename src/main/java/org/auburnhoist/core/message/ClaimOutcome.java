package org.auburnhoist.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Reports the outcome of a granted claim to the operation's home.
 *
 * @param operationId the operation
 * @param attempt number under which the claim was granted, so that a late report never ends a newer claim
 * @param result outcome of the claim
 * @param recorded the upstream's answer, only with {@link ClaimResult#ANSWERED}
 */
public record ClaimOutcome(
        String operationId,
        long attempt,
        ClaimResult result,
        @Nullable RecordedResponse recorded) implements Message {}
