package org.auburnhoist.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.emulator.StoreEmulator;
import org.auburnhoist.emulator.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against the client reporting a write as not done although its outcome is unknown, for example after a lost
 * response, or sending such a write a second time. Also covers leases, watches and the choice of the endpoint.
 */
class EtcdStoreTest {
    private static final String KEY = "/test/a";

    private final AtomicLong clock = new AtomicLong();
    private StoreEmulator emulator;
    private EtcdStore store;

    @BeforeEach
    void start() throws Exception {
        emulator = StoreEmulator.builder().clock(clock::get).start();
        store = client(Duration.ofSeconds(30), emulator.address());
    }

    @AfterEach
    void stop() {
        store.close();
        emulator.close();
    }

    @Test
    void readReturnsTheWrittenValueAndAStaleRevisionConflicts() {
        WriteResult.Done first = assertInstanceOf(WriteResult.Done.class, write(StorePosition.NONE, "one"));
        WriteResult.Done second = assertInstanceOf(WriteResult.Done.class, write(first.position(), "two"));
        WriteResult.Conflict conflict = assertInstanceOf(WriteResult.Conflict.class, write(first.position(), "three"));
        assertEquals(second.position(), conflict.currentPosition());
        assertEquals(
                new WriteResult.Conflict(StorePosition.NONE), write("/test/absent", StorePosition.ofRevision(9), "x"));
        Entry entry = found(KEY).entries().get(0);
        assertEquals(second.position(), entry.position());
        assertArrayEquals(bytes("two"), entry.value());
        assertEquals(new StoreCounts(1, 4), new StoreCounts(store.counts()));
        assertEquals(new StoreCounts(1, 4), new StoreCounts(emulator.counts()));
    }

    @Test
    void rangeReturnsOnlyKeysWithThePrefixInKeyOrder() {
        write("/test/b", StorePosition.NONE, "2");
        write("/test/a", StorePosition.NONE, "1");
        write("/test0", StorePosition.NONE, "after the prefix");
        ReadResult.Found found =
                assertInstanceOf(ReadResult.Found.class, store.range("/test/").join());
        assertEquals(
                List.of("/test/a", "/test/b"),
                found.entries().stream().map(Entry::key).toList());
        assertEquals(StorePosition.ofRevision(emulator.revision()), found.position());
    }

    @Test
    void lostResponseIsOutcomeUnknownAndTheWriteTookEffect() {
        emulator.injectFaultOnce(StoreCallKind.WRITE, new StoreFault.DropResponse());
        assertInstanceOf(WriteResult.OutcomeUnknown.class, write(StorePosition.NONE, "one"));
        assertEquals(1, found(KEY).entries().size());
        assertEquals(1, emulator.counts().of(StoreCallKind.WRITE), "the client must not send the write again");
    }

    @Test
    void lostRequestAndTimedOutProposalAreOutcomeUnknown() {
        emulator.injectFaultOnce(StoreCallKind.WRITE, new StoreFault.DropRequest());
        assertInstanceOf(WriteResult.OutcomeUnknown.class, write(StorePosition.NONE, "one"));
        assertEquals(0, found(KEY).entries().size());
        emulator.injectFaultOnce(StoreCallKind.WRITE, new StoreFault.TimeOutAfterEffect());
        assertInstanceOf(WriteResult.OutcomeUnknown.class, write(StorePosition.NONE, "one"));
        assertEquals(1, found(KEY).entries().size());
    }

    @Test
    void storeThatNeverRespondsMakesWritesUnknownAndReadsUnavailable() {
        EtcdStore shortTimeoutStore = client(Duration.ofMillis(100), emulator.address());
        emulator.injectFaultForAllCalls(new StoreFault.NeverAnswer());
        assertInstanceOf(
                WriteResult.OutcomeUnknown.class,
                shortTimeoutStore
                        .compareAndSwap(KEY, StorePosition.NONE, bytes("one"))
                        .join());
        assertInstanceOf(
                ReadResult.Unavailable.class, shortTimeoutStore.get(KEY).join());
        assertInstanceOf(
                LeaseResult.Unavailable.class,
                shortTimeoutStore.grantLease(Duration.ofSeconds(1)).join());
    }

    @Test
    void refusedConnectionAndRejectionAreNotDone() throws Exception {
        emulator.injectFaultOnce(StoreCallKind.WRITE, new StoreFault.Reject());
        assertInstanceOf(WriteResult.NotDone.class, write(StorePosition.NONE, "one"));
        emulator.refuseConnections();
        // A pooled connection may break only after the write was sent, so a new client is used to see the refusal.
        EtcdStore newClient = client(Duration.ofSeconds(30), emulator.address());
        assertInstanceOf(
                WriteResult.NotDone.class,
                newClient.compareAndSwap(KEY, StorePosition.NONE, bytes("one")).join());
        assertInstanceOf(ReadResult.Unavailable.class, store.get(KEY).join());
        emulator.acceptConnections();
        assertEquals(0, found(KEY).entries().size());
    }

    @Test
    void stateSurvivesWhileConnectionsAreRefused() throws Exception {
        write(StorePosition.NONE, "one");
        emulator.refuseConnections();
        emulator.acceptConnections();
        assertEquals(1, found(KEY).entries().size());
    }

    @Test
    void secondEndpointGetsFailedReadsButWritesOnlyIfProvablyNotExecuted() throws Exception {
        try (StoreEmulator refusing = StoreEmulator.builder().start();
                StoreEmulator losing = StoreEmulator.builder().start()) {
            refusing.refuseConnections();
            EtcdStore refusingFirst = client(Duration.ofSeconds(30), refusing.address(), emulator.address());
            assertInstanceOf(
                    WriteResult.Done.class,
                    refusingFirst
                            .compareAndSwap(KEY, StorePosition.NONE, bytes("one"))
                            .join());

            losing.injectFaultForAllCalls(new StoreFault.DropRequest());
            EtcdStore losingFirst = client(Duration.ofSeconds(30), losing.address(), emulator.address());
            long writes = emulator.counts().of(StoreCallKind.WRITE);
            assertInstanceOf(
                    WriteResult.OutcomeUnknown.class,
                    losingFirst
                            .compareAndSwap(KEY, StorePosition.NONE, bytes("two"))
                            .join());
            assertEquals(writes, emulator.counts().of(StoreCallKind.WRITE));
            assertInstanceOf(ReadResult.Found.class, losingFirst.get(KEY).join());
        }
    }

    @Test
    void leaseExpiresByTheStoresClockAndItsKeyIsDeleted() {
        LeaseResult.Granted lease = assertInstanceOf(
                LeaseResult.Granted.class,
                store.grantLease(Duration.ofSeconds(5)).join());
        store.compareAndSwap(KEY, StorePosition.NONE, bytes("held"), lease.leaseId())
                .join();
        clock.addAndGet(Duration.ofSeconds(4).toNanos());
        assertInstanceOf(
                LeaseResult.Granted.class, store.keepAlive(lease.leaseId()).join());
        clock.addAndGet(Duration.ofSeconds(4).toNanos());
        emulator.tick();
        assertEquals(1, found(KEY).entries().size());
        clock.addAndGet(Duration.ofSeconds(1).toNanos());
        emulator.tick();
        assertEquals(0, found(KEY).entries().size());
        assertEquals(new LeaseResult.Expired(), store.keepAlive(lease.leaseId()).join());
        assertInstanceOf(
                WriteResult.NotDone.class,
                store.compareAndSwap(KEY, StorePosition.NONE, bytes("late"), lease.leaseId())
                        .join());
    }

    @Test
    void watchReportsChangesAndRequiresAResyncAfterEachReconnect() throws Exception {
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        store.watch("/test/", recorder(seen));
        assertEquals("interrupted", seen.take());
        assertEquals(1, emulator.openWatches());
        WriteResult.Done done = assertInstanceOf(WriteResult.Done.class, write(StorePosition.NONE, "one"));
        assertEquals("changed /test/a one", seen.take());
        store.compareAndDelete(KEY, done.position()).join();
        assertEquals("deleted /test/a", seen.take());

        emulator.refuseConnections();
        emulator.acceptConnections();
        assertEquals("interrupted", seen.take());
        client(Duration.ofSeconds(30), emulator.address()).compareAndSwap(KEY, StorePosition.NONE, bytes("two"));
        assertEquals("changed /test/a two", seen.take());
        emulator.interruptWatches();
        assertEquals("interrupted", seen.take());
        assertTrue(emulator.counts().of(StoreCallKind.WATCH) >= 3);
    }

    @Test
    void watchThatTheStoreNeverCreatesIsRetried() throws Exception {
        emulator.injectFaultOnce(StoreCallKind.WATCH, new StoreFault.NeverAnswer());
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        EtcdStore shortTimeoutStore = client(Duration.ofMillis(100), emulator.address());
        shortTimeoutStore.watch("/", recorder(seen));
        assertEquals("interrupted", seen.take());
        shortTimeoutStore.close();
    }

    @Test
    void backoffDoublesUpToItsMaximumAndIsJittered() {
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofMillis(350), new Random(7));
        long[] upperMillis = {100, 200, 350, 350};
        for (long upper : upperMillis) {
            long delay = backoff.next().toNanos();
            assertTrue(delay >= upper * 500_000 && delay < upper * 1_000_000, "delay " + delay);
        }
        backoff.reset();
        assertTrue(backoff.next().toNanos() < 100_000_000);
    }

    private static EtcdStore client(Duration callLimit, URI... endpoints) {
        EtcdStore.Builder builder = EtcdStore.builder()
                .callLimit(callLimit)
                .backoff(Duration.ofMillis(1), Duration.ofMillis(10))
                .random(new Random(1));
        for (URI endpoint : endpoints) {
            builder.endpoint(endpoint);
        }
        return builder.build();
    }

    private static WatchListener recorder(BlockingQueue<String> seen) {
        return new WatchListener() {
            @Override
            public void changed(Entry entry) {
                seen.add("changed " + entry.key() + " " + new String(entry.value(), StandardCharsets.UTF_8));
            }

            @Override
            public void deleted(String key) {
                seen.add("deleted " + key);
            }

            @Override
            public void resyncRequired() {
                seen.add("interrupted");
            }
        };
    }

    private WriteResult write(StorePosition expected, String value) {
        return write(KEY, expected, value);
    }

    private WriteResult write(String key, StorePosition expected, String value) {
        return store.compareAndSwap(key, expected, bytes(value)).join();
    }

    private ReadResult.Found found(String key) {
        return assertInstanceOf(ReadResult.Found.class, store.get(key).join());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private record StoreCounts(long reads, long writes) {
        StoreCounts(StoreCallCounts counts) {
            this(counts.of(StoreCallKind.READ), counts.of(StoreCallKind.WRITE));
        }
    }
}
