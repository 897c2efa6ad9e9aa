package org.auburnhoist.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Answer of an operation's home, the host that keeps the record of the operation.
 *
 * @param verdict whether the requesting host may run the operation
 * @param recorded the answer of the earlier run, only with {@link ClaimVerdict#DONE}
 */
public record ClaimAnswer(ClaimVerdict verdict, @Nullable RecordedResponse recorded) implements Message {}
