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

/** Links between hosts on real sockets. */
class PeerLinkTest {
    private static final String SECRET = "a secret of the fleet";
    private static final Duration GENEROUS = Duration.ofSeconds(30);

    private final Closer closer = new Closer();
    private final CompletableFuture<HostId> asking = new CompletableFuture<>();
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
                this::answer,
                new TrafficCounter()));
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    @Test
    void aCallIsAnsweredAndBothSidesKnowEachOther() throws Exception {
        CallResult result = call(client("client", SECRET), new TokenRequest("members", 0, 3), GENEROUS);
        assertEquals(new CallResult.Answered(new HostId("server", 1), new TokenAnswer(true, 3, 0)), result);
        assertEquals(new HostId("client", 2), asking.get(30, TimeUnit.SECONDS));
    }

    @Test
    void aPeerWithAnotherSecretIsNotHeard() throws Exception {
        CallResult result = call(client("client", "some other secret"), new TokenRequest("members", 0, 3), GENEROUS);
        assertInstanceOf(CallResult.NotSent.class, result);
        assertTrue(!asking.isDone());
    }

    @Test
    void aRequestWithoutAnswerIsReportedAsPossiblyActedOn() throws Exception {
        CallResult result = call(client("client", SECRET), new Acknowledgement(true), Duration.ofMillis(300));
        assertInstanceOf(CallResult.NoAnswer.class, result);
    }

    /** Guards against links that a cut has made silent for good. */
    @Test
    void aLinkThatStaysSilentIsReplaced() throws Exception {
        PeerClient client = client("client", SECRET);
        // A busy machine may take a while for the handshake, during which nothing is awaited yet.
        assertInstanceOf(CallResult.Answered.class, call(client, new TokenRequest("members", 0, 3), GENEROUS));
        for (int call = 0; call < 3; call++) {
            assertInstanceOf(
                    CallResult.NoAnswer.class, call(client, new Acknowledgement(true), Duration.ofMillis(400)));
        }
        // The link is closed just after the call has ended.
        long start = System.nanoTime();
        do {
            client.closeIdle(System.nanoTime());
        } while (client.linkCount() > 0
                && System.nanoTime() - start < Duration.ofSeconds(10).toNanos());
        assertEquals(0, client.linkCount());
        assertInstanceOf(CallResult.Answered.class, call(client, new TokenRequest("members", 0, 3), GENEROUS));
    }

    @Test
    void aPeerThatRefusesConnectionsWasNotSentAnything() throws Exception {
        InetSocketAddress address = server.address();
        server.close();
        CallResult result = client("client", SECRET)
                .call(address, new Acknowledgement(true), GENEROUS)
                .get(30, TimeUnit.SECONDS);
        assertInstanceOf(CallResult.NotSent.class, result);
    }

    @Test
    void aLargeAnswerArrivesWhole() throws Exception {
        CallResult result = call(client("client", SECRET), new ChunkRequest("large"), GENEROUS);
        ChunkAnswer answer = (ChunkAnswer) ((CallResult.Answered) result).message();
        assertEquals(1_000_000, answer.content().length);
    }

    @Test
    void aConnectionThatSendsGarbageIsClosed() throws Exception {
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

    private CompletableFuture<Message> answer(HostId from, Message request) {
        asking.complete(from);
        if (request instanceof TokenRequest token) {
            return CompletableFuture.completedFuture(new TokenAnswer(true, token.wanted(), 0));
        }
        if (request instanceof ChunkRequest chunk) {
            return CompletableFuture.completedFuture(new ChunkAnswer(chunk.digest(), true, new byte[1_000_000]));
        }
        return new CompletableFuture<>();
    }
}
