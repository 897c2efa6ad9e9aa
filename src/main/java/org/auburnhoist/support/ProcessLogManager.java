package org.auburnhoist.support;

import java.util.logging.LogManager;

/**
 * Keeps the log's handlers while the process stops. The standard manager removes them as soon as a signal arrives, so
 * that a planned stop and the requests that finish during it would not be recorded.
 */
public final class ProcessLogManager extends LogManager {
    /** Name of the system property that selects the log manager; must be set before the first use of the log. */
    public static final String PROPERTY = "java.util.logging.manager";

    @Override
    public void reset() {
        // Called by the standard shutdown hook; the handlers are flushed when the process ends.
    }
}
