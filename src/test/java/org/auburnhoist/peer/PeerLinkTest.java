package org.auburnhoist.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.AsynchronousChannelGroup;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.ChunkAnswer;
import org.auburnhoist.core.message.ChunkRequest;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.support.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards, on real sockets, against requests that are reported as not sent although the peer may have executed them,
 * peers that are accepted without the fleet secret, and links that stay silent.
 */
class PeerLinkTest {
    private static final String SECRET = "a secret of the fleet";
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

    private final Closer closer = new Closer();
    private final CompletableFuture<HostId> requester = new CompletableFuture<>();
    private AsynchronousChannelGroup group;
    private ScheduledExecutorService timer;
    private PeerServer server;

    @BeforeEach
    void startServer() throws Exception {
        group = AsynchronousChannelGroup.withFixedThreadPool(2, Executors.defaultThreadFactory());
        closer.register(group::shutdownNow);
        timer = Executors.newSingleThreadScheduledExecutor();
        closer.register(timer::shutdownNow);
        PeerSettings settings = PeerSettings.of(new HostId("server", 1), SECRET);
        server = closer.register(PeerServer.start(
                settings,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                group,
                this::handleRequest,
                new TrafficCounter()));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    @Test
    void aCallIsAnsweredAndBothSidesAreIdentified() throws Exception {
        CallResult result = call(client("client", SECRET), new TokenRequest("members", 0, 3), LONG_TIMEOUT);
        assertEquals(new CallResult.Answered(new HostId("server", 1), new TokenAnswer(true, 3, 0)), result);
        assertEquals(new HostId("client", 2), requester.get(30, TimeUnit.SECONDS));
    }

    @Test
    void requestsOfAPeerWithAnotherSecretAreNotHandled() throws Exception {
        CallResult result =
                call(client("client", "some other secret"), new TokenRequest("members", 0, 3), LONG_TIMEOUT);
        assertInstanceOf(CallResult.NotSent.class, result);
        assertTrue(!requester.isDone());
    }

    @Test
    void aRequestWithoutAnswerIsReportedAsPossiblyExecuted() throws Exception {
        CallResult result = call(client("client", SECRET), new Acknowledgement(true), Duration.ofMillis(300));
        assertInstanceOf(CallResult.NoAnswer.class, result);
    }

    /** Guards against links that stay silent permanently after a network partition. */
    @Test
    void aLinkThatStaysSilentIsReplaced() throws Exception {
        PeerClient client = client("client", SECRET);
        // Completes the handshake first: it may be slow on a busy machine, and the silence timeout starts only after
        // it.
        assertInstanceOf(CallResult.Answered.class, call(client, new TokenRequest("members", 0, 3), LONG_TIMEOUT));
        for (int call = 0; call < 3; call++) {
            assertInstanceOf(
                    CallResult.NoAnswer.class, call(client, new Acknowledgement(true), Duration.ofMillis(400)));
        }
        // The link is closed shortly after the call has been completed.
        long start = System.nanoTime();
        do {
            client.closeIdle(System.nanoTime());
        } while (client.linkCount() > 0
                && System.nanoTime() - start < Duration.ofSeconds(10).toNanos());
        assertEquals(0, client.linkCount());
        assertInstanceOf(CallResult.Answered.class, call(client, new TokenRequest("members", 0, 3), LONG_TIMEOUT));
    }

    @Test
    void aRequestOverARefusedConnectionIsReportedAsNotSent() throws Exception {
        InetSocketAddress address = server.address();
        server.close();
        CallResult result = client("client", SECRET)
                .call(address, new Acknowledgement(true), LONG_TIMEOUT)
                .get(30, TimeUnit.SECONDS);
        assertInstanceOf(CallResult.NotSent.class, result);
    }

    @Test
    void aLargeAnswerArrivesComplete() throws Exception {
        CallResult result = call(client("client", SECRET), new ChunkRequest("large"), LONG_TIMEOUT);
        ChunkAnswer answer = (ChunkAnswer) ((CallResult.Answered) result).message();
        assertEquals(1_000_000, answer.content().length);
    }

    @Test
    void aConnectionThatSendsAnInvalidFrameIsClosed() throws Exception {
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes("US-ASCII"));
            InputStream in = socket.getInputStream();
            assertEquals(-1, in.read());
        }
    }

    private CallResult call(PeerClient client, Message request, Duration timeout) throws Exception {
        return client.call(server.address(), request, timeout).get(30, TimeUnit.SECONDS);
    }

    private PeerClient client(String name, String secret) {
        PeerSettings settings = PeerSettings.of(new HostId(name, 2), secret);
        return closer.register(new PeerClient(settings, group, timer, new TrafficCounter()));
    }

    private CompletableFuture<Message> handleRequest(HostId from, Message request) {
        requester.complete(from);
        if (request instanceof TokenRequest token) {
            return CompletableFuture.completedFuture(new TokenAnswer(true, token.wanted(), 0));
        }
        if (request instanceof ChunkRequest chunk) {
            return CompletableFuture.completedFuture(new ChunkAnswer(chunk.digest(), true, new byte[1_000_000]));
        }
        return new CompletableFuture<>();
    }
}
