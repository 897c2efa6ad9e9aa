package org.auburnhoist.proxy;

import java.io.IOException;
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
 * One caller's connection: its time limits, and the exchanges that run on it.
 *
 * <p>A caller may send further requests before the first is answered. A bounded number of them run at the same time;
 * each is answered when those before it have been. Only the last one announces the end of the connection, because
 * callers send again what they sent behind such an answer.
 *
 * <p>Before the server closes a connection after an answer, it stops sending and reads on for {@link #LINGER_NANOS};
 * otherwise unread bytes would reset the connection and destroy the answer on its way.
 */
final class CallerConnection implements IOEventHandler {
    private static final long LINGER_NANOS = 1_000_000_000L;

    private final IOSession session;
    private final ProxyServer server;
    private final ReadPauser bodyGate = new ReadPauser();
    private volatile @Nullable IOEventHandler handler;
    private volatile boolean wake;
    /** Exchanges in the order of their requests, each until both of its messages are complete. */
    private final Deque<CallerExchange> running = new ArrayDeque<>();

    private @Nullable CallerExchange last;
    /** Whether a complete head was read for which no exchange has started yet. */
    private boolean headReserved;
    /** Whether no further request is read. */
    private boolean ending;

    private boolean closing;
    private boolean sendingStopped;
    private boolean headStarted;
    private boolean headExpired;
    private long since;
    /** Ended exchanges whose answers may not be written to the socket yet. */
    private int unflushed;

    private final List<CallerExchange> awaitingFlush = new ArrayList<>();

    CallerConnection(IOSession session, ProxyServer server) {
        this.session = session;
        this.server = server;
        this.since = server.now();
    }

    void setHandler(IOEventHandler value) {
        handler = value;
    }

    ReadPauser bodyGate() {
        return bodyGate;
    }

    ProxyServer server() {
        return server;
    }

    IOSession session() {
        return session;
    }

    /** Whether the head of a further request may be read now. */
    synchronized boolean mayReadHead() {
        if (running.isEmpty()) {
            return true;
        }
        return !ending && !server.isStopping() && running.size() < server.settings().pipelinedRequests;
    }

    synchronized boolean isExchangeRunning() {
        return !running.isEmpty();
    }

    /** Reserves the next place for a request whose head is complete; false if no further request is accepted. */
    synchronized boolean reserveExchange() {
        headReserved = !ending;
        return headReserved;
    }

    /** Whether all earlier requests have been answered. */
    synchronized boolean isFirst(CallerExchange exchange) {
        return running.peekFirst() == exchange;
    }

    /** Whether no further request is read. */
    synchronized boolean isEnding() {
        return ending;
    }

    /** No request after those that are running is read. */
    synchronized void endAfterRunning() {
        ending = true;
    }

    /** Reads no request after an exchange; false if a later one has been accepted. */
    synchronized boolean endAfter(CallerExchange exchange) {
        if (last != exchange || headReserved) {
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
            since = server.now();
        }
    }

    synchronized void exchangeStarted(CallerExchange started) {
        running.addLast(started);
        last = started;
        headReserved = false;
        headStarted = false;
    }

    /** The last answer ends the connection. */
    synchronized void startClosing() {
        ending = true;
        if (!closing) {
            closing = true;
            since = server.now();
        }
    }

    /** Called when the end of an answer was passed to the output buffer. */
    void answerEnded(CallerExchange ended) {
        synchronized (this) {
            awaitingFlush.add(ended);
        }
        session.setEvent(SelectionKey.OP_WRITE);
    }

    /** Called when both messages of the exchange are complete; the end of the answer may not be written yet. */
    void exchangeEnded(CallerExchange ended) {
        CallerExchange next;
        synchronized (this) {
            running.remove(ended);
            next = running.peekFirst();
            since = server.now();
            unflushed++;
        }
        if (next != null) {
            next.becameFirst();
        }
        wake();
    }

    /**
     * The caller can receive nothing any more. All exchanges learn of it before the first of them ends, so that none
     * starts in its place.
     */
    void callerLeft() {
        running().stream().filter(exchange -> !exchange.isWritten()).forEach(CallerExchange::callerLeft);
    }

    /** Called when everything written so far has gone to the socket. */
    private void flushed() {
        boolean stop;
        synchronized (this) {
            stop = closing && !sendingStopped && last != null && awaitingFlush.contains(last);
            if (stop) {
                sendingStopped = true;
                since = server.now();
            }
        }
        if (stop) {
            stopSending();
        }
        takeAwaitingFlush().forEach(CallerExchange::answerFlushed);
        countEnded();
    }

    /**
     * Looks whether ended answers have gone to the socket, before an event that may be the end of the connection.
     *
     * <p>A caller may close as soon as it has the last byte, which can be seen before the event that output is
     * possible; without this look the answer would count as incomplete.
     */
    private void confirmWritten() throws IOException {
        // The first pass may end the exchange, which asks for output once more and hides that nothing is left.
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

    private void countEnded() {
        int count;
        synchronized (this) {
            count = unflushed;
            unflushed = 0;
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

    /** Applies the time limits; called now and then on a timer thread. */
    void checkTime(long now) {
        running().forEach(exchange -> exchange.checkTime(now));
        boolean close = false;
        boolean expire = false;
        synchronized (this) {
            long waited = now - since;
            if (closing) {
                long limit = sendingStopped
                        ? LINGER_NANOS
                        : server.settings().answerIdleTimeout.toNanos();
                close = waited > limit;
            } else if (running.isEmpty() && headStarted) {
                expire = !headExpired && waited > server.settings().headTimeout.toNanos();
                headExpired |= expire;
            } else if (running.isEmpty()) {
                close = waited > server.settings().callerIdleTimeout.toNanos();
            }
        }
        if (close) {
            session.close(CloseMode.GRACEFUL);
        } else if (expire) {
            wake();
        }
    }

    private synchronized List<CallerExchange> running() {
        return List.copyOf(running);
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

    /** Lets the I/O thread look again at bytes that it has read already. */
    private void wake() {
        wake = true;
        session.setEvent(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
    }

    private IOEventHandler handler() {
        IOEventHandler present = handler;
        if (present == null) {
            throw new IllegalStateException("handler: expected to be set before the first event");
        }
        return present;
    }

    @Override
    public void connected(IOSession ignored) throws IOException {
        if (server.connectionOpened(this)) {
            handler().connected(session);
        } else {
            abort();
        }
    }

    @Override
    public void inputReady(IOSession ignored, @Nullable ByteBuffer source) throws IOException {
        confirmWritten();
        handler().inputReady(session, source);
    }

    @Override
    public void outputReady(IOSession ignored) throws IOException {
        if (wake) {
            wake = false;
            confirmWritten();
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
            if (running().stream().allMatch(CallerExchange::isWritten)) {
                confirmWritten();
            }
        } catch (IOException broken) {
            // What was not written by now never will be.
        }
        handler().exception(session, cause);
    }

    @Override
    public void disconnected(IOSession ignored) {
        server.connectionClosed(this);
        handler().disconnected(session);
        takeAwaitingFlush().forEach(CallerExchange::callerLeft);
        countEnded();
    }
}
