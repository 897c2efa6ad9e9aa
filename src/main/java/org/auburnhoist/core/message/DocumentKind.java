package org.auburnhoist.core.message;

/** The documents that are replicated to all hosts. */
public enum DocumentKind {
    CONFIGURATION,
    ROSTER
}
