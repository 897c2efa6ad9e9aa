package org.auburnhoist.emulator;

import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;

/** Ignores the exceptions of connections, since clients close connections and faults break them at any time. */
final class IgnoringExceptionListener implements ExceptionListener {
    @Override
    public void onError(Exception cause) {
        // Expected whenever a connection breaks.
    }

    @Override
    public void onError(HttpConnection connection, Exception cause) {
        // Expected whenever a connection breaks.
    }
}
