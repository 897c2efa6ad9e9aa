package org.auburnhoist.store;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.support.EndlessServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a store or a host list whose response has no end: the host would keep all of it. */
@Timeout(120)
class EndlessBodyTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n";
    private static final Duration CALL_LIMIT = Duration.ofSeconds(60);

    @Test
    void aHostListWithoutEndIsCutOff() throws Exception {
        try (EndlessServer server = new EndlessServer(HEAD, " ".repeat(1 << 16));
                HttpHostList list = new HttpHostList(uri(server), CALL_LIMIT)) {
            var read = list.read();
            assertTrue(server.awaitClosedByClient(), "sent " + server.sentBytes() + " bytes, none refused");
            assertInstanceOf(HostList.HostListResult.Unavailable.class, read.get(60, TimeUnit.SECONDS));
        }
    }

    @Test
    void aStoreResponseWithoutEndIsCutOff() throws Exception {
        try (EndlessServer server = new EndlessServer(HEAD, " ".repeat(1 << 16));
                Store store = EtcdStore.builder()
                        .endpoint(uri(server))
                        .callLimit(CALL_LIMIT)
                        .build()) {
            var read = store.get("a/b");
            assertTrue(server.awaitClosedByClient(), "sent " + server.sentBytes() + " bytes, none refused");
            assertInstanceOf(ReadResult.Unavailable.class, read.get(60, TimeUnit.SECONDS));
        }
    }

    /** Guards against a watch that keeps a line of its response, however long. */
    @Test
    void aWatchWhoseLineHasNoEndIsCutOff() throws Exception {
        try (EndlessServer server = new EndlessServer(HEAD, " ".repeat(1 << 16));
                Store store = EtcdStore.builder()
                        .endpoint(uri(server))
                        .callLimit(CALL_LIMIT)
                        .build();
                AutoCloseable watch = store.watch("a/", new NoChanges())) {
            assertTrue(server.awaitClosedByClient(), "sent " + server.sentBytes() + " bytes, none refused");
        }
    }

    /** Guards against a watch that fails because all its lines together are longer than one may be. */
    @Test
    void aWatchWithManyLinesGoesOn() throws Exception {
        String line = " ".repeat((1 << 16) - 1) + "\n";
        try (EndlessServer server = new EndlessServer(HEAD, line);
                Store store = EtcdStore.builder()
                        .endpoint(uri(server))
                        .callLimit(CALL_LIMIT)
                        .build();
                AutoCloseable watch = store.watch("a/", new NoChanges())) {
            assertTrue(server.awaitAllSent(), "sent " + server.sentBytes() + " bytes, then cut off");
        }
    }

    private static final class NoChanges implements WatchListener {
        @Override
        public void changed(Entry entry) {
            throw new AssertionError("the response has no event, got " + entry.key());
        }

        @Override
        public void deleted(String key) {
            throw new AssertionError("the response has no event, got " + key);
        }

        @Override
        public void resyncRequired() {
            throw new AssertionError("the response does not say that the watch was created");
        }
    }

    private static URI uri(EndlessServer server) {
        return URI.create("http://127.0.0.1:" + server.address().getPort());
    }
}
