package org.auburnhoist.support;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers while the process shuts down. The standard log manager removes them as soon as a termination
 * signal arrives, so that a graceful shutdown and the requests that complete during it would not be logged.
 */
public final class ProcessLogManager extends LogManager {
    /** Name of the system property that selects the log manager; must be set before the first use of logging. */
    public static final String PROPERTY = "java.util.logging.manager";

    @Override
    public void reset() {
        // Called by the standard manager's shutdown hook; the handlers are flushed when the process ends.
    }
}
