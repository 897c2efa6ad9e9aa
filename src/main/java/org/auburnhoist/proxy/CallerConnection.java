package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * One caller's connection: its time limits, and the rule that one exchange runs at a time.
 *
 * <p>Before the server closes a connection after an answer, it stops sending and reads on for {@link #LINGER_NANOS};
 * otherwise unread bytes would reset the connection and destroy the answer on its way.
 */
final class CallerConnection implements IOEventHandler {
    private static final long LINGER_NANOS = 1_000_000_000L;

    private final IOSession session;
    private final ProxyServer server;
    private volatile @Nullable IOEventHandler handler;
    private volatile @Nullable CallerExchange exchange;
    private volatile boolean wake;
    private boolean exchangeRunning;
    private boolean closing;
    private boolean headStarted;
    private boolean headExpired;
    private long since;

    CallerConnection(IOSession session, ProxyServer server) {
        this.session = session;
        this.server = server;
        this.since = server.now();
    }

    void setHandler(IOEventHandler value) {
        handler = value;
    }

    ProxyServer server() {
        return server;
    }

    IOSession session() {
        return session;
    }

    synchronized boolean isExchangeRunning() {
        return exchangeRunning;
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
        exchange = started;
        exchangeRunning = true;
        headStarted = false;
    }

    /** Called when the answer is written as far as it will be, and no further request is accepted after it. */
    synchronized void startClosing() {
        if (!closing) {
            closing = true;
            since = server.now();
        }
    }

    /** Called when both messages of the exchange are complete. */
    void exchangeEnded() {
        boolean close;
        synchronized (this) {
            exchange = null;
            exchangeRunning = false;
            since = server.now();
            close = closing;
        }
        if (close) {
            stopSending();
        }
        wake();
    }

    void pauseReading() {
        session.clearEvent(SelectionKey.OP_READ);
    }

    void abort() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** Applies the time limits; called now and then on a timer thread. */
    void checkTime(long now) {
        CallerExchange running = exchange;
        if (running != null) {
            running.checkTime(now);
        }
        boolean close = false;
        boolean expire = false;
        synchronized (this) {
            long waited = now - since;
            if (closing) {
                close = waited > LINGER_NANOS;
            } else if (!exchangeRunning && headStarted) {
                expire = !headExpired && waited > server.settings().headTimeout.toNanos();
                headExpired |= expire;
            } else if (!exchangeRunning) {
                close = waited > server.settings().callerIdleTimeout.toNanos();
            }
        }
        if (close) {
            session.close(CloseMode.GRACEFUL);
            abort();
        } else if (expire) {
            wake();
        }
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
        handler().inputReady(session, source);
    }

    @Override
    public void outputReady(IOSession ignored) throws IOException {
        if (wake) {
            wake = false;
            handler().inputReady(session, null);
        }
        handler().outputReady(session);
    }

    @Override
    public void timeout(IOSession ignored, Timeout timeout) throws IOException {
        handler().timeout(session, timeout);
    }

    @Override
    public void exception(IOSession ignored, Exception cause) {
        handler().exception(session, cause);
    }

    @Override
    public void disconnected(IOSession ignored) {
        server.connectionClosed(this);
        handler().disconnected(session);
    }
}
