package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against reporting a write with an unknown outcome as done or not done, and against missed changes. */
class KvStoreTest {
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

    private FakeKvStore fakeStore;
    private KvStore store;

    @BeforeEach
    void start() throws Exception {
        fakeStore = new FakeKvStore();
        store = new KvStore(fakeStore.address());
    }

    @AfterEach
    void stop() {
        store.close();
        fakeStore.close();
    }

    private long revisionOf(String key) {
        ReadResult.Found found =
                assertInstanceOf(ReadResult.Found.class, store.get(key).join());
        return found.entries().stream()
                .mapToLong(entry -> entry.position().revision())
                .findFirst()
                .orElse(0);
    }

    @Test
    void writesTakeEffectOnlyIfTheirConditionHolds() {
        assertInstanceOf(
                WriteResult.Done.class,
                store.compareAndSwap("a/b", StorePosition.NONE, VALUE).join());
        long revision = revisionOf("a/b");
        assertEquals(
                new WriteResult.Conflict(new StorePosition(1, revision)),
                store.compareAndSwap("a/b", StorePosition.NONE, VALUE).join());
        assertEquals(
                new WriteResult.Conflict(StorePosition.NONE),
                store.compareAndSwap("a/c", new StorePosition(1, 7), VALUE).join());
        assertInstanceOf(
                WriteResult.Done.class,
                store.compareAndDelete("a/b", new StorePosition(1, revision)).join());
        assertEquals(0, revisionOf("a/b"));
    }

    @Test
    void rejectedWritesAreDistinguishedFromUnknownOutcomes() {
        fakeStore.failWith(503);
        assertInstanceOf(
                WriteResult.NotDone.class,
                store.compareAndSwap("a/b", StorePosition.NONE, VALUE).join());
        assertInstanceOf(ReadResult.Unavailable.class, store.get("a/b").join());
        fakeStore.failWith(0);
        fakeStore.dropWriteResponses(true);
        assertInstanceOf(
                WriteResult.OutcomeUnknown.class,
                store.compareAndSwap("a/b", StorePosition.NONE, VALUE).join());
        fakeStore.dropWriteResponses(false);
        assertTrue(revisionOf("a/b") > 0, "the write without a response took effect");
    }

    @Test
    void anAbandonedCallClosesItsConnection() throws Exception {
        CountDownLatch closed = new CountDownLatch(6);
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                KvStore client = new KvStore(new InetSocketAddress("127.0.0.1", silent.getLocalPort()))) {
            Thread acceptor = new Thread(() -> acceptAll(silent, closed), "silent-store");
            acceptor.setDaemon(true);
            acceptor.start();
            for (int call = 0; call < 6; call++) {
                assertInstanceOf(ReadResult.Unavailable.class, client.get("a/b").join());
            }
            assertTrue(closed.await(5, TimeUnit.SECONDS), "connections left open: " + closed.getCount());
        }
    }

    /**
     * Guards against a store that stays unreachable after a network partition, because connections that could not be
     * opened during the partition keep later calls waiting.
     */
    @Test
    void callsSucceedSoonAfterConnectionsCouldNotBeOpened() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                KvStore store = new KvStore(new InetSocketAddress("127.0.0.1", listener.getLocalPort()))) {
            List<Socket> queued = new ArrayList<>();
            // The kernel drops further SYN packets while the accept queue is full.
            for (int count = 0; count < 3; count++) {
                Socket socket = new Socket();
                queued.add(socket);
                try {
                    socket.connect(listener.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException full) {
                    break;
                }
            }
            for (int call = 0; call < 8; call++) {
                assertInstanceOf(ReadResult.Unavailable.class, store.get("a/b").join());
            }
            for (Socket socket : queued) {
                socket.close();
            }
            Thread acceptor = new Thread(() -> respondToAll(listener), "store-recovered");
            acceptor.setDaemon(true);
            acceptor.start();
            long start = System.nanoTime();
            while (!(store.get("a/b").join() instanceof ReadResult.Found)) {
                assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(4), "store still unreachable");
            }
        }
    }

    private static void respondToAll(ServerSocket server) {
        byte[] response = "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread responder = new Thread(
                        () -> {
                            try (socket) {
                                byte[] request = new byte[4_096];
                                while (socket.getInputStream().read(request) > 0) {
                                    socket.getOutputStream().write(response);
                                }
                            } catch (IOException reset) {
                                // The store's client closed the connection.
                            }
                        },
                        "answering");
                responder.setDaemon(true);
                responder.start();
            } catch (IOException stopped) {
                return;
            }
        }
    }

    /** Reads all input and never responds; counts the connections that the client has closed. */
    private static void acceptAll(ServerSocket server, CountDownLatch closed) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread reader = new Thread(() -> readToEnd(socket, closed), "silent-connection");
                reader.setDaemon(true);
                reader.start();
            } catch (IOException stopped) {
                return;
            }
        }
    }

    private static void readToEnd(Socket socket, CountDownLatch closed) {
        try (socket) {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException reset) {
            // A reset ends the connection as well.
        }
        closed.countDown();
    }

    @Test
    void rangesOfSeveralPagesAreReadCompletely() {
        for (int number = 0; number < 130; number++) {
            fakeStore.put("servers/i-" + number, "x");
        }
        fakeStore.put("sesame", "x");
        ReadResult.Found found =
                assertInstanceOf(ReadResult.Found.class, store.range("servers/").join());
        assertEquals(130, found.entries().size());
    }

    @Test
    void leasesAreGrantedRenewedAndReportedAsExpired() {
        LeaseResult.Granted granted = assertInstanceOf(
                LeaseResult.Granted.class,
                store.grantLease(Duration.ofSeconds(15)).join());
        assertInstanceOf(
                WriteResult.Done.class,
                store.compareAndSwap("h/1", StorePosition.NONE, VALUE, granted.leaseId())
                        .join());
        assertInstanceOf(
                LeaseResult.Granted.class, store.keepAlive(granted.leaseId()).join());
        fakeStore.expireAllLeases();
        assertInstanceOf(
                LeaseResult.Expired.class, store.keepAlive(granted.leaseId()).join());
        assertEquals(0, revisionOf("h/1"));
        assertInstanceOf(
                WriteResult.NotDone.class,
                store.compareAndSwap("h/1", StorePosition.NONE, VALUE, granted.leaseId())
                        .join());
    }

    @Test
    void aWatchReportsChangesAfterTheHistoryWasCompacted() throws Exception {
        fakeStore.put("op/config", "1");
        BlockingQueue<String> reported = new LinkedBlockingQueue<>();
        WatchListener listener = new RecordingListener(reported);
        try (AutoCloseable watch = store.watch("op/config", listener)) {
            assertEquals("1", reported.poll(5, TimeUnit.SECONDS));
            fakeStore.put("op/config", "2");
            assertEquals("2", reported.poll(5, TimeUnit.SECONDS));
            while (fakeStore.waitingWatches() == 0) {
                Thread.sleep(5);
            }
            fakeStore.compact();
            assertEquals("2", reported.poll(5, TimeUnit.SECONDS), "read again after the history was compacted");
            fakeStore.put("op/config", "3");
            assertEquals("3", reported.poll(5, TimeUnit.SECONDS));
            assertTrue(watch != null);
        }
    }

    /**
     * Guards against changes that a watch never tells: it continues from a revision that the restored store gives out
     * again for a later change.
     */
    @Test
    void aWatchReportsChangesBelowItsRevisionAfterTheStoreWasRestored() throws Exception {
        fakeStore.put("op/config", "old");
        fakeStore.takeCopy();
        BlockingQueue<String> reported = new LinkedBlockingQueue<>();
        for (int change = 0; change < 5; change++) {
            fakeStore.put("other/" + change, "lost");
        }
        long watchedRevision = fakeStore.revision();
        try (AutoCloseable watch = store.watch("op/", new RecordingListener(reported))) {
            assertEquals("old", reported.poll(5, TimeUnit.SECONDS));
            while (fakeStore.waitingWatches() == 0) {
                Thread.sleep(5);
            }
            fakeStore.restoreCopy();
            fakeStore.put("op/config", "new");
            while (fakeStore.revision() < watchedRevision) {
                fakeStore.put("other/again", "value");
            }
            fakeStore.put("op/more", "later");
            List<String> values = new ArrayList<>();
            String value;
            while ((value = reported.poll(2, TimeUnit.SECONDS)) != null) {
                values.add(value);
            }
            assertTrue(values.contains("new"), "reported: " + values);
            assertTrue(values.contains("later"), "reported: " + values);
            assertTrue(watch != null);
        }
    }

    /** Guards against a single malformed response that makes all later ones look outdated. */
    @Test
    void aReadOfTheFirstResponseOfALaterEraIsRepeated() {
        fakeStore.put("op/config", "1");
        fakeStore.takeCopy();
        assertEquals(1, positionOf("op/config").era());
        assertEquals(1, positionOf("op/config").era());
        fakeStore.restoreCopy();
        int callsBefore = fakeStore.calls().size();
        assertEquals(2, positionOf("op/config").era());
        assertEquals(2, fakeStore.calls().size() - callsBefore, "the first response is not used by itself");
        assertEquals(2, positionOf("op/config").era());
        assertEquals(3, fakeStore.calls().size() - callsBefore);
    }

    private StorePosition positionOf(String key) {
        return assertInstanceOf(ReadResult.Found.class, store.get(key).join()).position();
    }

    /** Guards against a watch that reuses the connection of a shorter call and ends with the timeout of that call. */
    @Test
    void aWatchContinuesWhileNothingChanges() throws Exception {
        fakeStore.put("op/config", "1");
        BlockingQueue<String> reported = new LinkedBlockingQueue<>();
        WatchListener listener = new RecordingListener(reported);
        assertInstanceOf(ReadResult.Found.class, store.get("op/config").get(5, TimeUnit.SECONDS));
        try (AutoCloseable watch = store.watch("op/config", listener)) {
            assertEquals("1", reported.poll(5, TimeUnit.SECONDS));
            assertNull(reported.poll(2_500, TimeUnit.MILLISECONDS));
            assertEquals(
                    1,
                    fakeStore.calls().stream()
                            .filter(call -> call.equals("GET /api/kv-watch"))
                            .count());
            assertTrue(watch != null);
        }
    }

    /** Records the values and events that a watch reports. */
    private record RecordingListener(BlockingQueue<String> reported) implements WatchListener {
        @Override
        public void changed(Entry entry) {
            reported.add(new String(entry.value(), StandardCharsets.UTF_8));
        }

        @Override
        public void deleted(String key) {
            reported.add("deleted");
        }

        @Override
        public void resyncRequired() {
            reported.add("interrupted");
        }
    }

    /** Guards against calls that fail because they are sent on a connection that has been idle for a while. */
    @Test
    void callsSucceedAfterAnIdleTime() throws Exception {
        fakeStore.put("op/config", "v");
        for (int round = 0; round < 6; round++) {
            // This leaves two connections, of which the next single call uses only one.
            List<CompletableFuture<ReadResult>> both = List.of(store.get("op/config"), store.get("op/config"));
            for (CompletableFuture<ReadResult> call : both) {
                assertInstanceOf(ReadResult.Found.class, call.join(), "round " + round);
            }
            Thread.sleep(600);
            assertInstanceOf(ReadResult.Found.class, store.get("op/config").join(), "round " + round);
            Thread.sleep(600);
        }
    }
}
