package org.auburnhoist.peer;

import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Message;
import org.jspecify.annotations.Nullable;

/** A link that this host opened to a peer: first the handshake, then requests, which are answered in any order. */
final class PeerLink implements FrameChannel.FrameListener {
    private static final int MAX_PENDING_REQUESTS = 20_000;
    /**
     * A link is replaced if no frame was received for this long after a request. An open connection may stay silent
     * permanently, and after a network partition a new one works sooner than one that waits seconds for its next TCP
     * retransmission.
     */
    private static final long SILENCE_TIMEOUT_NANOS = 1_000_000_000L;

    private final PeerSettings settings;
    private final FrameChannel channel;
    private final Handshake.Hello hello;
    private final Map<Long, Call> pending = new HashMap<>();
    private final List<Call> waitingForHandshake = new ArrayList<>();
    private @Nullable HostId peer;
    private byte @Nullable [] sessionKey;
    private @Nullable String closedReason;
    private long nextCorrelationId;
    private long sentFrames;
    private long receivedFrames;
    private volatile long lastUsedNanos;
    /** Whether a request was sent after the last frame was received; the next field is when the first one was sent. */
    private boolean awaitingFrame;

    private long awaitingSinceNanos;

    PeerLink(PeerSettings settings, AsynchronousSocketChannel socket, byte[] nonce, TrafficCounter traffic) {
        this.settings = settings;
        this.channel = new FrameChannel(socket, this, traffic);
        this.hello = new Handshake.Hello(MessageCodec.PROTOCOL_VERSION, settings.self(), nonce, new byte[0]);
    }

    /** A request that is queued or has not been answered yet. */
    private record Call(long correlationId, Message request, CompletableFuture<CallResult> result) {}

    void connect(AsynchronousSocketChannel socket, InetSocketAddress address) {
        socket.connect(address, null, new CompletionHandler<Void, @Nullable Void>() {
            @Override
            public void completed(Void result, @Nullable Void attachment) {
                channel.startReading();
                channel.send(Handshake.encode(hello));
            }

            @Override
            public void failed(Throwable cause, @Nullable Void attachment) {
                channel.close("connect failed: " + cause);
            }
        });
    }

    /** Sends a request, after the handshake if necessary; the returned task ends the call when its timeout expires. */
    Runnable send(Message request, CompletableFuture<CallResult> result, long nowNanos) {
        lastUsedNanos = nowNanos;
        Call call;
        synchronized (this) {
            if (closedReason != null) {
                result.complete(new CallResult.NotSent(closedReason));
                return () -> {};
            }
            if (pending.size() + waitingForHandshake.size() >= MAX_PENDING_REQUESTS) {
                result.complete(new CallResult.NotSent("more than " + MAX_PENDING_REQUESTS + " requests are pending"));
                return () -> {};
            }
            call = new Call(nextCorrelationId++, request, result);
            byte[] key = sessionKey;
            if (key == null) {
                waitingForHandshake.add(call);
            } else {
                sendRequest(key, call, nowNanos);
            }
        }
        return () -> expire(call, System.nanoTime());
    }

    boolean isClosed() {
        synchronized (this) {
            return closedReason != null;
        }
    }

    boolean isReady() {
        synchronized (this) {
            return sessionKey != null;
        }
    }

    boolean isIdleSince(long cutoffNanos) {
        synchronized (this) {
            return pending.isEmpty() && waitingForHandshake.isEmpty() && lastUsedNanos - cutoffNanos < 0;
        }
    }

    void close(String reason) {
        channel.close(reason);
    }

    @Override
    public void frameReceived(byte[] content) {
        try {
            byte[] key;
            synchronized (this) {
                key = sessionKey;
            }
            if (key == null) {
                completeHandshake(Handshake.decode(content));
            } else {
                completeCall(key, content);
            }
        } catch (MalformedMessageException cause) {
            channel.close(String.valueOf(cause.getMessage()));
        }
    }

    @Override
    public void channelClosed(String reason) {
        List<Call> notSent;
        List<Call> unanswered;
        synchronized (this) {
            closedReason = reason;
            notSent = List.copyOf(waitingForHandshake);
            unanswered = List.copyOf(pending.values());
            waitingForHandshake.clear();
            pending.clear();
        }
        notSent.forEach(call -> call.result().complete(new CallResult.NotSent(reason)));
        unanswered.forEach(call -> call.result().complete(new CallResult.NoAnswer(reason)));
    }

    private void completeHandshake(Handshake.Hello answer) throws MalformedMessageException {
        byte[] secret = settings.secretBytes();
        byte[] expected = Handshake.proof(secret, Handshake.Role.ACCEPTING, hello, answer);
        if (!Handshake.matches(expected, answer.proof())) {
            throw new MalformedMessageException("handshake: the peer does not know the fleet secret");
        }
        synchronized (this) {
            channel.send(Handshake.proof(secret, Handshake.Role.CONNECTING, hello, answer));
            byte[] key = Handshake.sessionKey(secret, hello, answer);
            sessionKey = key;
            peer = answer.host();
            long now = System.nanoTime();
            waitingForHandshake.forEach(call -> sendRequest(key, call, now));
            waitingForHandshake.clear();
        }
    }

    private void sendRequest(byte[] key, Call call, long nowNanos) {
        if (!awaitingFrame) {
            awaitingFrame = true;
            awaitingSinceNanos = nowNanos;
        }
        pending.put(call.correlationId(), call);
        byte[] content = MessageCodec.encode(call.correlationId(), call.request());
        channel.send(Handshake.appendMac(key, Handshake.Role.CONNECTING, sentFrames++, content));
    }

    private void completeCall(byte[] key, byte[] content) throws MalformedMessageException {
        byte[] verified = Handshake.verifyAndRemoveMac(key, Handshake.Role.ACCEPTING, receivedFrames++, content);
        MessageCodec.Envelope envelope = MessageCodec.decode(verified);
        Call call;
        HostId from;
        synchronized (this) {
            awaitingFrame = false;
            call = pending.remove(envelope.correlationId());
            from = peer;
        }
        if (call != null && from != null) {
            call.result().complete(new CallResult.Answered(from, envelope.message()));
        }
    }

    private void expire(Call call, long nowNanos) {
        boolean wasWaiting;
        boolean silent;
        synchronized (this) {
            silent = awaitingFrame && nowNanos - awaitingSinceNanos > SILENCE_TIMEOUT_NANOS;
            wasWaiting = waitingForHandshake.remove(call);
            pending.remove(call.correlationId());
        }
        if (wasWaiting) {
            call.result().complete(new CallResult.NotSent("request timed out before the handshake was complete"));
        } else {
            call.result().complete(new CallResult.NoAnswer("request timed out"));
        }
        if (silent) {
            close("no frame received although requests were sent");
        }
    }
}
