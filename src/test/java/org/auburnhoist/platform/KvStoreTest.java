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
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against writes that are taken as done or not done although that is not known, and against lost changes. */
class KvStoreTest {
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

    private StandInStore platform;
    private KvStore store;

    @BeforeEach
    void start() throws Exception {
        platform = new StandInStore();
        store = new KvStore(platform.address());
    }

    @AfterEach
    void stop() {
        store.close();
        platform.close();
    }

    private long revisionOf(String key) {
        ReadResult.Found found =
                assertInstanceOf(ReadResult.Found.class, store.get(key).join());
        return found.entries().stream().mapToLong(Entry::revision).findFirst().orElse(0);
    }

    @Test
    void writesTakeEffectUnderTheirConditionOnly() {
        assertInstanceOf(
                WriteResult.Done.class, store.compareAndSwap("a/b", 0, VALUE).join());
        long revision = revisionOf("a/b");
        assertEquals(
                new WriteResult.Conflict(revision),
                store.compareAndSwap("a/b", 0, VALUE).join());
        assertEquals(
                new WriteResult.Conflict(0),
                store.compareAndSwap("a/c", 7, VALUE).join());
        assertInstanceOf(
                WriteResult.Done.class, store.compareAndDelete("a/b", revision).join());
        assertEquals(0, revisionOf("a/b"));
    }

    @Test
    void refusedAndLostCallsAreToldApart() {
        platform.refuseWith(503);
        assertInstanceOf(
                WriteResult.NotDone.class, store.compareAndSwap("a/b", 0, VALUE).join());
        assertInstanceOf(ReadResult.Unavailable.class, store.get("a/b").join());
        platform.refuseWith(0);
        platform.loseAnswersOfWrites(true);
        assertInstanceOf(
                WriteResult.OutcomeUnknown.class,
                store.compareAndSwap("a/b", 0, VALUE).join());
        platform.loseAnswersOfWrites(false);
        assertTrue(revisionOf("a/b") > 0, "the write whose answer was lost took effect");
    }

    @Test
    void aCallThatIsGivenUpClosesItsConnection() throws Exception {
        CountDownLatch closed = new CountDownLatch(6);
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                KvStore cut = new KvStore(new InetSocketAddress("127.0.0.1", silent.getLocalPort()))) {
            Thread acceptor = new Thread(() -> acceptAll(silent, closed), "silent-store");
            acceptor.setDaemon(true);
            acceptor.start();
            for (int call = 0; call < 6; call++) {
                assertInstanceOf(ReadResult.Unavailable.class, cut.get("a/b").join());
            }
            assertTrue(closed.await(5, TimeUnit.SECONDS), "connections left open: " + closed.getCount());
        }
    }

    /**
     * Guards against a store that stays out of reach after a cut: connections that could not be opened meanwhile must
     * not keep later calls waiting.
     */
    @Test
    void callsGetThroughSoonAfterConnectionsCouldNotBeOpened() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                KvStore store = new KvStore(new InetSocketAddress("127.0.0.1", listener.getLocalPort()))) {
            List<Socket> filling = new ArrayList<>();
            // The system drops further opening packets while the queue of accepted connections is full.
            for (int count = 0; count < 3; count++) {
                Socket socket = new Socket();
                filling.add(socket);
                try {
                    socket.connect(listener.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException full) {
                    break;
                }
            }
            for (int call = 0; call < 8; call++) {
                assertInstanceOf(ReadResult.Unavailable.class, store.get("a/b").join());
            }
            for (Socket socket : filling) {
                socket.close();
            }
            Thread acceptor = new Thread(() -> answerAll(listener), "store-again");
            acceptor.setDaemon(true);
            acceptor.start();
            long start = System.nanoTime();
            while (!(store.get("a/b").join() instanceof ReadResult.Found)) {
                assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(4), "still out of reach");
            }
        }
    }

    private static void answerAll(ServerSocket server) {
        byte[] answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread answering = new Thread(
                        () -> {
                            try (socket) {
                                byte[] request = new byte[4_096];
                                while (socket.getInputStream().read(request) > 0) {
                                    socket.getOutputStream().write(answer);
                                }
                            } catch (IOException reset) {
                                // A connection that the store's client has given up.
                            }
                        },
                        "answering");
                answering.setDaemon(true);
                answering.start();
            } catch (IOException stopped) {
                return;
            }
        }
    }

    /** Reads what comes and never answers; counts connections that the caller has closed. */
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
    void rangesOfSeveralPagesAreReadWhole() {
        for (int number = 0; number < 130; number++) {
            platform.put("servers/i-" + number, "x");
        }
        platform.put("sesame", "x");
        ReadResult.Found found =
                assertInstanceOf(ReadResult.Found.class, store.range("servers/").join());
        assertEquals(130, found.entries().size());
    }

    @Test
    void leasesAreGrantedRenewedAndSeenToEnd() {
        LeaseResult.Granted granted = assertInstanceOf(
                LeaseResult.Granted.class,
                store.grantLease(Duration.ofSeconds(15)).join());
        assertInstanceOf(
                WriteResult.Done.class,
                store.compareAndSwap("h/1", 0, VALUE, granted.leaseId()).join());
        assertInstanceOf(
                LeaseResult.Granted.class, store.keepAlive(granted.leaseId()).join());
        platform.lapseLeases();
        assertInstanceOf(
                LeaseResult.Expired.class, store.keepAlive(granted.leaseId()).join());
        assertEquals(0, revisionOf("h/1"));
        assertInstanceOf(
                WriteResult.NotDone.class,
                store.compareAndSwap("h/1", 0, VALUE, granted.leaseId()).join());
    }

    @Test
    void aWatchTellsChangesAlsoAfterTheHistoryWasDropped() throws Exception {
        platform.put("op/config", "1");
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        WatchListener listener = new RecordingListener(seen);
        try (AutoCloseable watch = store.watch("op/config", listener)) {
            assertEquals("1", seen.poll(5, TimeUnit.SECONDS));
            platform.put("op/config", "2");
            assertEquals("2", seen.poll(5, TimeUnit.SECONDS));
            while (platform.waitingWatches() == 0) {
                Thread.sleep(5);
            }
            platform.compact();
            assertEquals("2", seen.poll(5, TimeUnit.SECONDS), "read again after the history was dropped");
            platform.put("op/config", "3");
            assertEquals("3", seen.poll(5, TimeUnit.SECONDS));
            assertTrue(watch != null);
        }
    }

    /** Guards against a watch that takes the connection of a shorter call and is cut by the time limit of that call. */
    @Test
    void aWatchGoesOnWhileNothingChanges() throws Exception {
        platform.put("op/config", "1");
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        WatchListener listener = new RecordingListener(seen);
        assertInstanceOf(ReadResult.Found.class, store.get("op/config").get(5, TimeUnit.SECONDS));
        try (AutoCloseable watch = store.watch("op/config", listener)) {
            assertEquals("1", seen.poll(5, TimeUnit.SECONDS));
            assertNull(seen.poll(2_500, TimeUnit.MILLISECONDS));
            assertEquals(
                    1,
                    platform.calls().stream()
                            .filter(call -> call.equals("GET /api/kv-watch"))
                            .count());
            assertTrue(watch != null);
        }
    }

    /** Writes down the values and events that a watch reports. */
    private record RecordingListener(BlockingQueue<String> seen) implements WatchListener {
        @Override
        public void changed(Entry entry) {
            seen.add(new String(entry.value(), StandardCharsets.UTF_8));
        }

        @Override
        public void deleted(String key) {
            seen.add("deleted");
        }

        @Override
        public void interrupted() {
            seen.add("interrupted");
        }
    }

    /** Guards against calls that fail because the connection on which they are sent has been idle for a while. */
    @Test
    void callsAfterAPauseHaveTheirAnswers() throws Exception {
        platform.put("op/config", "v");
        for (int round = 0; round < 6; round++) {
            // Of the two connections that this leaves, the next single call uses one only.
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
