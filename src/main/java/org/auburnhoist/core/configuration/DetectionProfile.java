package org.auburnhoist.core.configuration;

/** How readily failing servers are ejected. */
public enum DetectionProfile {
    /** Prefers few false ejections. */
    CAUTIOUS,
    /** Prefers short detection time. */
    QUICK
}
