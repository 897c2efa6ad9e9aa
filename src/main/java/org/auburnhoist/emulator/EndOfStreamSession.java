package org.auburnhoist.emulator;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Decorates a session so that it closes as soon as the peer closes its side of the connection. Without it, HttpCore's
 * server waits until the pending response has been written, and a caller that disconnects would not cancel its work.
 */
final class EndOfStreamSession {
    private static final int END_OF_STREAM = -1;

    private EndOfStreamSession() {}

    static IOSession decorate(IOSession session) {
        Class<?>[] type = {IOSession.class};
        return (IOSession) Proxy.newProxyInstance(
                IOSession.class.getClassLoader(), type, (proxy, method, arguments) -> {
                    Object result;
                    try {
                        result = method.invoke(session, arguments);
                    } catch (InvocationTargetException cause) {
                        throw cause.getTargetException();
                    }
                    if (method.getName().equals("read") && result instanceof Integer count && count == END_OF_STREAM) {
                        session.close(CloseMode.IMMEDIATE);
                    }
                    return result;
                });
    }
}
