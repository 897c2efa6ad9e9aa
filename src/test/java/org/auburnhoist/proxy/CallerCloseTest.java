package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against wrong audit records of responses whose callers close the connection immediately. */
@Timeout(120)
class CallerCloseTest {
    private static final int CALLERS = 200;

    /** Guards against recording a response as incomplete although the caller has received all of it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 204 No Content\r\n\r\n"
            })
    void responseIsCompleteWhenCallerClosesAfterLastByte(String response) throws Exception {
        BlockingQueue<TestForwarding> admitted = new LinkedBlockingQueue<>();
        List<Integer> incomplete = new ArrayList<>();
        try (RawUpstream upstream = RawUpstream.responding(response);
                ProxyServer proxy = ProxyServer.start(ProxySettings.builder().build(), (head, now) -> {
                    TestForwarding forwarding = TestForwarding.booking(upstream.address());
                    admitted.add(forwarding);
                    return CompletableFuture.completedFuture(new Admission.Forwarded(forwarding));
                })) {
            for (int caller = 0; caller < CALLERS; caller++) {
                try (RawConnection connection = RawConnection.to(proxy.address())) {
                    connection.send("POST /a HTTP/1.1\r\nHost: fleet\r\nContent-Length: 2\r\n\r\nhi");
                    connection.readMessage();
                }
                if (!admitted.take().awaitFinish().complete()) {
                    incomplete.add(caller);
                }
            }
        }
        assertEquals(List.of(), incomplete);
    }
}
