package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;

/** Guards against a request that is passed on although its connection is being closed as idle: it gets no answer. */
class IdleCloseTest extends ProxyTestBase {
    @Test
    void aRequestThatIsReadWhileItsIdleConnectionIsClosedIsNotAccepted() throws IOException {
        upstream = RawUpstream.responding(OK);
        ProxySettings.Builder settings = ProxySettings.builder().callerIdleTimeout(Duration.ofNanos(1));
        start(settings, lookups(upstream.address())).close();
        CallerConnection[] connection = new CallerConnection[1];
        List<Boolean> accepted = new ArrayList<>();
        // The head of a request is complete at the moment at which the timer's thread touches the connection.
        IOSession session = (IOSession) Proxy.newProxyInstance(
                IOSession.class.getClassLoader(), new Class<?>[] {IOSession.class}, (self, method, arguments) -> {
                    accepted.add(connection[0].reserveExchange());
                    return null;
                });
        connection[0] = new CallerConnection(session, proxy);
        connection[0].checkTimeouts(proxy.now() + Duration.ofSeconds(1).toNanos());
        assertTrue(accepted.size() > 0, "the connection is closed");
        assertEquals(List.of(), accepted.stream().filter(each -> each).toList(), "requests accepted while closing");
    }
}
