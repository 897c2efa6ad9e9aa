package org.auburnhoist.core.message;

/**
 * Confirms that a message was processed.
 *
 * @param accepted whether the receiver accepted responsibility for the content
 */
public record Acknowledgement(boolean accepted) implements Message {}
