package org.auburnhoist.core.message;

/**
 * Asks for a document.
 *
 * @param kind which document
 * @param version minimum version of interest
 */
public record DocumentRequest(DocumentKind kind, long version) implements Message {}
