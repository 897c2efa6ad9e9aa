package org.auburnhoist.core.membership;

/**
 * Reason why encoded bytes are not a valid roster.
 *
 * @param place field in which the problem was found, such as {@code members[3].dataCentre}
 * @param message the value found and what was expected
 */
public record RosterProblem(String place, String message) {}
