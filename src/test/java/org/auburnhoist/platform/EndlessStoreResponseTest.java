package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.support.EndlessServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a store whose response has no end: the host would keep all of it and run out of memory. */
@Timeout(60)
class EndlessStoreResponseTest {
    /** The part of a response that never ends. */
    enum EndlessPart {
        STATUS_LINE("HTTP/1.1 200 ", "a".repeat(1 << 16)),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "a".repeat(1 << 16)),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-One: a\r\n".repeat(1 << 12)),
        BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", " ".repeat(1 << 16)),
        BODY_WITH_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", " ".repeat(1 << 16)),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + " ".repeat(1 << 12) + "\r\n");

        final String start;
        final String repeated;

        EndlessPart(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    @ParameterizedTest
    @EnumSource
    void theConnectionIsClosedAndTheReadFailsWithinALimit(EndlessPart part) throws Exception {
        try (EndlessServer server = new EndlessServer(part.start, part.repeated);
                KvStore store = new KvStore(server.address())) {
            assertInstanceOf(ReadResult.Unavailable.class, store.get("a/b").get(30, TimeUnit.SECONDS));
            assertTrue(server.awaitClosedByClient(), "sent " + server.sentBytes() + " bytes, none refused");
        }
    }
}
