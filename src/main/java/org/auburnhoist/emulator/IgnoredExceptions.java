package org.auburnhoist.emulator;

import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;

/** Drops exceptions of connections, which clients close and faults break at any time. */
final class IgnoredExceptions implements ExceptionListener {
    @Override
    public void onError(Exception cause) {
        // Expected whenever a connection breaks.
    }

    @Override
    public void onError(HttpConnection connection, Exception cause) {
        // Expected whenever a connection breaks.
    }
}
