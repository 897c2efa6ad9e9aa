package org.auburnhoist.core.message;

import java.util.List;

/**
 * What decides between requests that wait for the same service.
 *
 * @param priority rank, 0 is the highest
 * @param targetMillis time from now within which the answer has its full use, 0 if not stated
 * @param attempt 1 for the request's first attempt
 * @param dataCentre where the asking host runs, empty if that does not matter
 * @param connected servers to which the asking host has an idle connection
 * @param returnsTo the only servers that may get the request, empty if any may: the request has been sent to as many
 *     servers as its route allows, and these rejected it without running it
 */
public record SlotTerms(
        int priority,
        long targetMillis,
        int attempt,
        String dataCentre,
        List<String> connected,
        List<String> returnsTo) {
    /** Terms of a first attempt without a rank of its own. */
    public static final SlotTerms STANDARD = new SlotTerms(0, 0, 1, "", List.of());

    /** Copies the lists. */
    public SlotTerms {
        connected = List.copyOf(connected);
        returnsTo = List.copyOf(returnsTo);
    }

    /** Terms of an attempt that any server may get. */
    public SlotTerms(int priority, long targetMillis, int attempt, String dataCentre, List<String> connected) {
        this(priority, targetMillis, attempt, dataCentre, connected, List.of());
    }
}
