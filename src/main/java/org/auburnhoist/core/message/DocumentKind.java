package org.auburnhoist.core.message;

/** The replicated documents. */
public enum DocumentKind {
    CONFIGURATION,
    ROSTER
}
