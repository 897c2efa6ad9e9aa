package org.auburnhoist.core.message;

/**
 * Answer to a {@link DocumentRequest}: a complete document.
 *
 * @param kind which document
 * @param version its version, 0 if the answering host has none
 * @param content its encoded content, empty if the answering host has none
 */
@SuppressWarnings("ArrayRecordComponent")
public record DocumentAnswer(DocumentKind kind, long version, byte[] content) implements Message {}
