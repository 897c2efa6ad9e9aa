package org.auburnhoist.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** Accepts links from other hosts and answers their requests. */
public final class PeerServer implements AutoCloseable {
    private final PeerSettings settings;
    private final PeerRequestHandler handler;
    private final AsynchronousServerSocketChannel acceptor;
    private final TrafficCounter traffic;
    private final SecureRandom random = new SecureRandom();
    private final Set<Session> sessions = ConcurrentHashMap.newKeySet();

    private PeerServer(
            PeerSettings settings,
            PeerRequestHandler handler,
            AsynchronousServerSocketChannel acceptor,
            TrafficCounter traffic) {
        this.settings = settings;
        this.handler = handler;
        this.acceptor = acceptor;
        this.traffic = traffic;
    }

    /**
     * Starts a server that listens on an address.
     *
     * @param settings this host's identity and secret
     * @param address the address to listen on; port 0 selects a free port
     * @param group runs the I/O and calls the handler
     * @param handler answers the requests
     * @param traffic counts the bytes sent and received
     * @throws IOException if the address cannot be bound
     */
    public static PeerServer start(
            PeerSettings settings,
            InetSocketAddress address,
            AsynchronousChannelGroup group,
            PeerRequestHandler handler,
            TrafficCounter traffic)
            throws IOException {
        AsynchronousServerSocketChannel acceptor = AsynchronousServerSocketChannel.open(group)
                .setOption(StandardSocketOptions.SO_REUSEADDR, true)
                .bind(address);
        PeerServer server = new PeerServer(settings, handler, acceptor, traffic);
        server.acceptNext();
        return server;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        try {
            return (InetSocketAddress) acceptor.getLocalAddress();
        } catch (IOException cause) {
            throw new IllegalStateException("the server is closed", cause);
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.close();
        sessions.forEach(session -> session.close("server is closed"));
    }

    private void acceptNext() {
        acceptor.accept(null, new AcceptHandler());
    }

    private final class AcceptHandler implements CompletionHandler<AsynchronousSocketChannel, Void> {
        @Override
        public void completed(AsynchronousSocketChannel channel, Void attachment) {
            new Session(channel).start();
            acceptNext();
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            if (acceptor.isOpen()) {
                Event.named("peer-accept-failed").with("cause", cause).warn();
                acceptNext();
            }
        }
    }

    /** One accepted link: first the handshake, then requests. */
    private final class Session implements FrameChannel.FrameListener {
        private final FrameChannel channel;
        private final Object sendLock = new Object();
        private Handshake.@Nullable Hello connectingHello;
        private Handshake.@Nullable Hello acceptingHello;
        private byte @Nullable [] sessionKey;
        private long receivedFrames;
        private long sentFrames;

        Session(AsynchronousSocketChannel socket) {
            channel = new FrameChannel(socket, this, traffic);
            try {
                socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            } catch (IOException cause) {
                channel.close("setting TCP_NODELAY failed: " + cause);
            }
        }

        void start() {
            sessions.add(this);
            channel.startReading();
        }

        void close(String reason) {
            channel.close(reason);
        }

        @Override
        public void frameReceived(byte[] content) {
            try {
                Handshake.Hello hello = connectingHello;
                byte[] key = sessionKey;
                if (hello == null) {
                    answerHello(Handshake.decode(content));
                } else if (key == null) {
                    checkProof(hello, content);
                } else {
                    handleRequest(hello.host(), key, content);
                }
            } catch (MalformedMessageException cause) {
                Event.named("peer-link-refused")
                        .with("cause", String.valueOf(cause.getMessage()))
                        .warn();
                channel.close(String.valueOf(cause.getMessage()));
            }
        }

        @Override
        public void channelClosed(String reason) {
            sessions.remove(this);
        }

        private void answerHello(Handshake.Hello hello) {
            byte[] nonce = new byte[Handshake.NONCE_BYTES];
            random.nextBytes(nonce);
            Handshake.Hello helloWithoutProof =
                    new Handshake.Hello(MessageCodec.PROTOCOL_VERSION, settings.self(), nonce, new byte[0]);
            byte[] proof = Handshake.proof(settings.secretBytes(), Handshake.Role.ACCEPTING, hello, helloWithoutProof);
            connectingHello = hello;
            acceptingHello = helloWithoutProof;
            channel.send(Handshake.encode(
                    new Handshake.Hello(MessageCodec.PROTOCOL_VERSION, settings.self(), nonce, proof)));
        }

        private void checkProof(Handshake.Hello hello, byte[] content) throws MalformedMessageException {
            Handshake.Hello own = acceptingHello;
            if (own == null) {
                throw new MalformedMessageException("handshake: expected a hello before the proof");
            }
            byte[] expected = Handshake.proof(settings.secretBytes(), Handshake.Role.CONNECTING, hello, own);
            if (!Handshake.matches(expected, content)) {
                throw new MalformedMessageException("handshake: the peer does not know the fleet secret");
            }
            sessionKey = Handshake.sessionKey(settings.secretBytes(), hello, own);
        }

        private void handleRequest(HostId from, byte[] key, byte[] content) throws MalformedMessageException {
            byte[] verified = Handshake.verifyAndRemoveMac(key, Handshake.Role.CONNECTING, receivedFrames++, content);
            MessageCodec.Envelope envelope = MessageCodec.decode(verified);
            handler.handle(from, envelope.message()).whenComplete((answer, failure) -> {
                if (failure != null) {
                    Event.named("peer-request-failed").with("cause", failure).warn();
                    channel.close("request handler failed");
                } else {
                    sendAnswer(key, envelope.correlationId(), answer);
                }
            });
        }

        private void sendAnswer(byte[] key, long correlationId, Message answer) {
            byte[] content = MessageCodec.encode(correlationId, answer);
            synchronized (sendLock) {
                channel.send(Handshake.appendMac(key, Handshake.Role.ACCEPTING, sentFrames++, content));
            }
        }

        @Override
        public String toString() {
            return "Session[" + Arrays.toString(new Object[] {connectingHello}) + "]";
        }
    }
}
