package org.auburnhoist.core.message;

/**
 * Confirms that a message was acted on.
 *
 * @param accepted whether the receiver took responsibility for the content
 */
public record Acknowledgement(boolean accepted) implements Message {}
