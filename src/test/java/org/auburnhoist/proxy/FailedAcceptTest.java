package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a host that runs on without a listener after accepting a connection has failed. */
@Timeout(60)
class FailedAcceptTest extends ProxyTestBase {
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(15);

    // A failed accept ended the acceptor: all later callers were refused for as long as the process ran.
    @Test
    void callersAreAcceptedAgainAfterAcceptingHasFailed() throws Exception {
        upstream = RawUpstream.responding(OK);
        Set<Thread> before = threads();
        try (RawConnection open = start(lookups(upstream.address()))) {
            assertTrue(open.send(GET).readMessage().endsWith("ok"));
            for (int failure = 0; failure < 2; failure++) {
                failAccept(before);
                assertTrue(open.send(GET).readMessage().endsWith("ok"), "the open connection ended");
                assertTrue(await(this::isServed), "no new connection is accepted after failure " + failure);
            }
            assertTrue(open.send(GET).readMessage().endsWith("ok"), "the open connection ended");
        }
    }

    // Each failure would leave a thread and a selector behind, which take descriptors for ever.
    @Test
    void noThreadStaysOfAcceptorsThatHaveEnded() throws Exception {
        upstream = RawUpstream.responding(OK);
        Set<Thread> before = threads();
        start(lookups(upstream.address())).close();
        int started = callerThreads(before).size();
        for (int failure = 0; failure < 3; failure++) {
            failAccept(before);
            assertTrue(await(this::isServed), "no new connection is accepted after failure " + failure);
        }
        assertTrue(await(() -> callerThreads(before).size() == started), () -> "threads: " + callerThreads(before));
    }

    /** A host that stops would open its listener again and accept callers that it does not serve. */
    @Test
    void aHostThatStopsDoesNotListenAgain() throws Exception {
        upstream = RawUpstream.responding(OK);
        Set<Thread> before = threads();
        start(lookups(upstream.address())).close();
        failAccept(before);
        proxy.stopAccepting(System.nanoTime());
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
        while (System.nanoTime() - end < 0) {
            assertFalse(isServed());
            Thread.sleep(100);
        }
    }

    // The connections over the bound would take the descriptors that servers, hosts and the platform need.
    @Test
    void theBoundOfCallersHoldsAndEndsWithTheirConnections() throws Exception {
        upstream = RawUpstream.responding(OK);
        RawConnection first = start(ProxySettings.builder().maxCallerConnections(2), lookups(upstream.address()));
        RawConnection second = RawConnection.to(proxy.address());
        assertTrue(await(() -> proxy.callerConnections() == 2), "the callers were not accepted");
        assertFalse(isServed());
        assertFalse(proxy.isAccepting(), "a host that refuses callers says that it accepts them");
        assertEquals(2, proxy.callerConnections());
        first.close();
        assertTrue(await(this::isServed), "no connection is accepted after one was closed");
        second.close();
    }

    // Callers that leave idle connections open would keep all others out for the idle timeout of a minute.
    @Test
    void idleConnectionsMakeRoomForNewCallers() throws Exception {
        CompletableFuture<Admission> pending = new CompletableFuture<>();
        upstream = RawUpstream.responding(OK);
        RawConnection busy = start(ProxySettings.builder().maxCallerConnections(8), (head, now) -> {
            Admission forwarded = new Admission.Forwarded(TestForwarding.lookup(upstream.address()));
            return head.path().equals("/pending") ? pending : CompletableFuture.completedFuture(forwarded);
        });
        busy.send("GET /pending HTTP/1.1\r\nHost: fleet\r\n\r\n");
        for (int caller = 0; caller < 7; caller++) {
            RawConnection.to(proxy.address());
        }
        assertTrue(await(() -> proxy.callerConnections() == 8), "the callers were not accepted");
        assertTrue(await(this::isServed), "idle connections keep new callers out");
        pending.complete(new Admission.Forwarded(TestForwarding.lookup(upstream.address())));
        assertTrue(busy.readMessage().endsWith("ok"), "a connection with a request was closed");
        busy.close();
    }

    // The platform's question could not be answered while callers take all connections.
    @Test
    void theReservedAddressIsServedWhileCallersTakeAllConnections() throws Exception {
        upstream = RawUpstream.responding(OK);
        InetSocketAddress reserved;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            reserved = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        RequestPolicy policy = lookups(upstream.address());
        RawConnection caller =
                start(ProxySettings.builder().maxCallerConnections(1).reservedListener(reserved, policy), policy);
        assertTrue(await(() -> proxy.callerConnections() == 1), "the caller was not accepted");
        assertFalse(isServed());
        try (RawConnection platform = RawConnection.to(reserved)) {
            assertTrue(platform.send(GET).readMessage().endsWith("ok"));
        }
        caller.close();
    }

    /** Ends the thread that accepts connections, as HttpCore does when an accept fails for want of a descriptor. */
    private static void failAccept(Set<Thread> before) throws InterruptedException {
        List<Thread> acceptors = callerThreads(before).stream()
                .filter(thread -> thread.getName().startsWith("caller-accept"))
                .toList();
        assertEquals(1, acceptors.size(), acceptors::toString);
        acceptors.get(0).interrupt();
        acceptors.get(0).join();
    }

    private boolean isServed() {
        try (RawConnection caller = RawConnection.to(proxy.address())) {
            return caller.send(GET).readMessage().endsWith("ok");
        } catch (SocketException | EOFException refused) {
            return false;
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    private static boolean await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + WAIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }

    private static Set<Thread> threads() {
        return new HashSet<>(Thread.getAllStackTraces().keySet());
    }

    /** The threads of the proxy under test that accept callers or serve them. */
    private static List<Thread> callerThreads(Set<Thread> before) {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> !before.contains(thread) && thread.isAlive())
                .filter(thread -> thread.getName().startsWith("caller-"))
                .toList();
    }
}
