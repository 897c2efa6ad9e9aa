package org.auburnhoist.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.message.Message;

/**
 * Sends requests to other hosts; opens a link to a host on first use and closes it after the idle timeout.
 *
 * <pre>{@code
 * client.call(address, new TokenRequest("members", 0, 1), Duration.ofMillis(100))
 *         .thenAccept(result -> ...);
 * }</pre>
 */
public final class PeerClient implements AutoCloseable {
    private final PeerSettings settings;
    private final AsynchronousChannelGroup group;
    private final ScheduledExecutorService timer;
    private final TrafficCounter traffic;
    private final SecureRandom random = new SecureRandom();
    private final Map<InetSocketAddress, PeerLink> links = new ConcurrentHashMap<>();

    /**
     * Creates a client without open links.
     *
     * @param settings this host's identity and secret
     * @param group runs the I/O and completes the calls
     * @param timer schedules the timeouts
     * @param traffic counts the bytes sent and received
     */
    public PeerClient(
            PeerSettings settings,
            AsynchronousChannelGroup group,
            ScheduledExecutorService timer,
            TrafficCounter traffic) {
        this.settings = settings;
        this.group = group;
        this.timer = timer;
        this.traffic = traffic;
    }

    /**
     * Sends a request without blocking.
     *
     * @param address the peer's address
     * @param request the request
     * @param timeout maximum time until the answer, including the time for connecting
     * @return completes with the result, never exceptionally
     */
    public CompletableFuture<CallResult> call(InetSocketAddress address, Message request, Duration timeout) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        PeerLink link;
        try {
            link = links.compute(address, (key, existing) -> isUsable(existing) ? existing : openLink(key));
        } catch (LinkFailedException cause) {
            result.complete(new CallResult.NotSent(String.valueOf(cause.getMessage())));
            return result;
        }
        Runnable expire = link.send(request, result, System.nanoTime());
        if (!result.isDone()) {
            Future<?> expiry = timer.schedule(expire, timeout.toNanos(), TimeUnit.NANOSECONDS);
            result.whenComplete((answer, failure) -> expiry.cancel(false));
        }
        return result;
    }

    /** Closes links that have been idle for longer than the idle timeout. */
    public void closeIdle(long nowNanos) {
        long cutoffNanos = nowNanos - settings.idleTimeout().toNanos();
        links.forEach((address, link) -> {
            if (link.isClosed()) {
                links.remove(address, link);
            } else if (link.isIdleSince(cutoffNanos)) {
                links.remove(address, link);
                link.close("idle");
            }
        });
    }

    /** Returns the number of links, including closed ones that {@link #closeIdle} has not yet removed. */
    public int linkCount() {
        return links.size();
    }

    @Override
    public void close() {
        links.values().forEach(link -> link.close("client is closed"));
        links.clear();
    }

    private static boolean isUsable(PeerLink link) {
        return link != null && !link.isClosed();
    }

    private PeerLink openLink(InetSocketAddress address) {
        try {
            AsynchronousSocketChannel socket = AsynchronousSocketChannel.open(group);
            socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            byte[] nonce = new byte[Handshake.NONCE_BYTES];
            random.nextBytes(nonce);
            PeerLink link = new PeerLink(settings, socket, nonce, traffic);
            link.connect(socket, address);
            timer.schedule(
                    () -> closeUnlessReady(link), settings.connectTimeout().toNanos(), TimeUnit.NANOSECONDS);
            return link;
        } catch (IOException cause) {
            throw new LinkFailedException("connect failed: " + cause, cause);
        }
    }

    private static void closeUnlessReady(PeerLink link) {
        if (!link.isReady()) {
            link.close("handshake timed out");
        }
    }

    /** Thrown when a socket cannot be opened. */
    private static final class LinkFailedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        LinkFailedException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
