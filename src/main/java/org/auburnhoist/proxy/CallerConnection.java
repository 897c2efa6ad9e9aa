package org.auburnhoist.proxy;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * A caller's connection, with its timeouts and the exchanges that run on it.
 *
 * <p>A caller may pipeline requests: it may send further requests before the first response. A bounded number of them
 * run concurrently, and the responses are sent in the order of the requests. Only the last response announces the end
 * of the connection, because callers resend the requests that follow such a response.
 *
 * <p>Before the server closes a connection after a response, it shuts down its output and keeps reading for
 * {@link #LINGER_NANOS}; otherwise unread bytes would reset the connection, and the response could be lost in transit.
 */
final class CallerConnection implements IOEventHandler {
    private static final long LINGER_NANOS = 1_000_000_000L;

    private final IOSession session;
    private final ProxyServer server;
    private volatile @Nullable CallerConnectionFactory factory;
    private volatile @Nullable SocketAddress localAddress;
    private final ReadPauser readPauser = new ReadPauser();
    private volatile @Nullable IOEventHandler handler;
    private volatile boolean wakeRequested;
    /** Exchanges in the order of their requests; each stays until its request and its response are complete. */
    private final Deque<CallerExchange> runningExchanges = new ArrayDeque<>();

    private @Nullable CallerExchange lastExchange;
    /** Whether a complete head was read for which no exchange has started yet. */
    private boolean exchangeReserved;
    /** Whether no further request is read. */
    private boolean ending;

    private boolean closing;
    private boolean sendingStopped;
    private boolean headStarted;
    private boolean headExpired;
    private long stateSinceNanos;
    /** Number of ended exchanges whose responses may not be written to the socket yet. */
    private int endedUnflushed;

    private final List<CallerExchange> awaitingFlush = new ArrayList<>();

    CallerConnection(IOSession session, ProxyServer server) {
        this.session = session;
        this.server = server;
        this.stateSinceNanos = server.now();
    }

    void setHandler(IOEventHandler value, CallerConnectionFactory builder) {
        handler = value;
        factory = builder;
    }

    ReadPauser readPauser() {
        return readPauser;
    }

    ProxyServer server() {
        return server;
    }

    IOSession session() {
        return session;
    }

    /** Whether a factory has built this connection. */
    boolean isOf(CallerConnectionFactory other) {
        return factory == other;
    }

    /** The address on which the connection was accepted, also after it was closed. */
    @Nullable
    SocketAddress localAddress() {
        return localAddress;
    }

    /** Time since the last response, or the opening, of a connection without a request; -1 if there is one. */
    synchronized long idleNanos(long now) {
        boolean idle = !closing && !headStarted && !exchangeReserved && runningExchanges.isEmpty();
        return idle ? now - stateSinceNanos : -1;
    }

    /** Whether the head of a further request may be read now. */
    synchronized boolean mayReadHead() {
        if (runningExchanges.isEmpty()) {
            return true;
        }
        return !ending && !server.isStopping() && runningExchanges.size() < server.settings().pipelinedRequests;
    }

    synchronized boolean isExchangeRunning() {
        return !runningExchanges.isEmpty();
    }

    /** Reserves an exchange for a request whose head is complete; false if no further request is accepted. */
    synchronized boolean reserveExchange() {
        exchangeReserved = !ending;
        return exchangeReserved;
    }

    /** Whether all earlier requests have been answered. */
    synchronized boolean isFirst(CallerExchange exchange) {
        return runningExchanges.peekFirst() == exchange;
    }

    /** Whether no further request is read. */
    synchronized boolean isEnding() {
        return ending;
    }

    /** Reads no request after the running ones. */
    synchronized void endAfterRunning() {
        ending = true;
    }

    /** Reads no request after that of an exchange; false if a later one has been accepted. */
    synchronized boolean endAfter(CallerExchange exchange) {
        if (lastExchange != exchange || exchangeReserved) {
            return false;
        }
        ending = true;
        return true;
    }

    synchronized boolean isClosing() {
        return closing;
    }

    synchronized boolean isHeadExpired() {
        return headExpired;
    }

    synchronized void headStarted() {
        if (!headStarted) {
            headStarted = true;
            stateSinceNanos = server.now();
        }
    }

    synchronized void exchangeStarted(CallerExchange started) {
        runningExchanges.addLast(started);
        lastExchange = started;
        exchangeReserved = false;
        headStarted = false;
    }

    /** Starts to close the connection after the last response. */
    synchronized void startClosing() {
        ending = true;
        if (!closing) {
            closing = true;
            stateSinceNanos = server.now();
        }
    }

    /**
     * Closes the connection unless a request is in progress or its head has begun to arrive. A request that is on its
     * way is dropped without having been read.
     */
    void closeIfIdle() {
        boolean flushed;
        synchronized (this) {
            if (closing || headStarted || exchangeReserved || !runningExchanges.isEmpty()) {
                return;
            }
            startClosing();
            flushed = endedUnflushed == 0;
            sendingStopped = flushed;
        }
        if (flushed) {
            stopSending();
        }
    }

    /** Ends the requests that have no response yet. */
    void endRequests() {
        runningExchanges().forEach(CallerExchange::hostStopped);
    }

    /** Called when the end of a response was passed to the output buffer. */
    void responseEnded(CallerExchange ended) {
        synchronized (this) {
            awaitingFlush.add(ended);
        }
        session.setEvent(SelectionKey.OP_WRITE);
    }

    /** Called when the request and the response are complete; the end of the response may not be written yet. */
    void exchangeEnded(CallerExchange ended) {
        CallerExchange next;
        synchronized (this) {
            runningExchanges.remove(ended);
            next = runningExchanges.peekFirst();
            stateSinceNanos = server.now();
            endedUnflushed++;
        }
        if (next != null) {
            next.becameFirst();
        }
        wake();
    }

    /**
     * Called when the caller can no longer receive anything. All exchanges are notified before the first of them ends,
     * so that no waiting exchange starts in its place.
     */
    void callerDisconnected() {
        runningExchanges().stream()
                .filter(exchange -> !exchange.isWritten())
                .forEach(CallerExchange::callerDisconnected);
    }

    /** Called when all output so far has been written to the socket. */
    private void flushed() {
        boolean stop;
        synchronized (this) {
            stop = closing && !sendingStopped && lastExchange != null && awaitingFlush.contains(lastExchange);
            if (stop) {
                sendingStopped = true;
                stateSinceNanos = server.now();
            }
        }
        if (stop) {
            stopSending();
        }
        takeAwaitingFlush().forEach(CallerExchange::responseFlushed);
        countEndedExchanges();
    }

    /**
     * Checks whether ended responses have been written to the socket, before an event that may be the end of the
     * connection.
     *
     * <p>A caller may close the connection as soon as it has received the last byte, and the close may be detected
     * before the event that output is possible; without this check the response would count as incomplete.
     */
    private void confirmFlushed() throws IOException {
        // The first pass may end the exchange, which requests output once more and hides that nothing is left to write.
        for (int pass = 0; pass < 2 && isFlushAwaited(); pass++) {
            writeOutput();
        }
    }

    private synchronized boolean isFlushAwaited() {
        return !awaitingFlush.isEmpty();
    }

    private synchronized List<CallerExchange> takeAwaitingFlush() {
        List<CallerExchange> taken = List.copyOf(awaitingFlush);
        awaitingFlush.clear();
        return taken;
    }

    private void countEndedExchanges() {
        int count;
        synchronized (this) {
            count = endedUnflushed;
            endedUnflushed = 0;
        }
        for (int ended = 0; ended < count; ended++) {
            server.exchangeEnded();
        }
    }

    void pauseReading() {
        session.clearEvent(SelectionKey.OP_READ);
    }

    void abort() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** Applies the timeouts; called periodically on a timer thread. */
    void checkTimeouts(long now) {
        runningExchanges().forEach(exchange -> exchange.checkTimeouts(now));
        boolean close = false;
        boolean closeIfIdle = false;
        boolean expire = false;
        synchronized (this) {
            long elapsed = now - stateSinceNanos;
            if (closing) {
                long limit = sendingStopped
                        ? LINGER_NANOS
                        : server.settings().answerIdleTimeout.toNanos();
                close = elapsed > limit;
            } else if (runningExchanges.isEmpty() && headStarted) {
                expire = !headExpired && elapsed > server.settings().headTimeout.toNanos();
                headExpired |= expire;
            } else if (runningExchanges.isEmpty()) {
                closeIfIdle = elapsed > server.settings().callerIdleTimeout.toNanos();
            }
        }
        if (close) {
            session.close(CloseMode.GRACEFUL);
        } else if (closeIfIdle) {
            closeIfIdle();
        } else if (expire) {
            wake();
        }
    }

    private synchronized List<CallerExchange> runningExchanges() {
        return List.copyOf(runningExchanges);
    }

    List<UnfinishedRequest> unfinishedRequests(long now) {
        return runningExchanges().stream()
                .flatMap(exchange -> exchange.unfinished(now).stream())
                .toList();
    }

    private void stopSending() {
        if (session.channel() instanceof SocketChannel channel) {
            try {
                channel.shutdownOutput();
            } catch (IOException cause) {
                abort();
            }
        }
    }

    /** Makes the I/O thread process bytes that it has already read. */
    private void wake() {
        wakeRequested = true;
        session.setEvent(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
    }

    private IOEventHandler handler() {
        IOEventHandler current = handler;
        if (current == null) {
            throw new IllegalStateException("handler: expected to be set before the first event");
        }
        return current;
    }

    @Override
    public void connected(IOSession ignored) throws IOException {
        localAddress = session.getLocalAddress();
        if (server.connectionOpened(this)) {
            handler().connected(session);
        } else {
            abort();
        }
    }

    @Override
    public void inputReady(IOSession ignored, @Nullable ByteBuffer source) throws IOException {
        confirmFlushed();
        handler().inputReady(session, source);
    }

    @Override
    public void outputReady(IOSession ignored) throws IOException {
        if (wakeRequested) {
            wakeRequested = false;
            confirmFlushed();
            handler().inputReady(session, null);
        }
        writeOutput();
    }

    private void writeOutput() throws IOException {
        handler().outputReady(session);
        // HttpCore clears the event when nothing is left to write.
        if ((session.getEventMask() & SelectionKey.OP_WRITE) == 0) {
            flushed();
        }
    }

    @Override
    public void timeout(IOSession ignored, Timeout timeout) throws IOException {
        handler().timeout(session, timeout);
    }

    @Override
    public void exception(IOSession ignored, Exception cause) {
        try {
            if (runningExchanges().stream().allMatch(CallerExchange::isWritten)) {
                confirmFlushed();
            }
        } catch (IOException broken) {
            // Output that has not been written by now cannot be written any more.
        }
        handler().exception(session, cause);
    }

    @Override
    public void disconnected(IOSession ignored) {
        server.connectionClosed(this);
        handler().disconnected(session);
        takeAwaitingFlush().forEach(CallerExchange::callerDisconnected);
        countEndedExchanges();
    }
}
