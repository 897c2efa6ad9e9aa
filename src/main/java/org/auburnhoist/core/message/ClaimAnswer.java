package org.auburnhoist.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Answer of an operation's home.
 *
 * @param verdict what the asking host may do
 * @param recorded the answer of the earlier run, only with {@link ClaimVerdict#DONE}
 */
public record ClaimAnswer(ClaimVerdict verdict, @Nullable RecordedResponse recorded) implements Message {}
