package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** A connection to an upstream server; it handles one exchange at a time. */
final class UpstreamConnection implements IOEventHandler {
    /** State of the connection in the pool; guarded by the pool's lock. */
    enum PoolState {
        LEASED,
        IDLE,
        CLOSED
    }

    /** Safety margin: a request sent this long before the server's idle timeout arrives in time. */
    private static final long IDLE_MARGIN_NANOS = 1_000_000_000L;
    /** Connections idle for longer are not reused, because devices on the network path may have dropped their state. */
    private static final int MAX_IDLE_SECONDS = 60;

    final String address;
    private final IOSession session;
    private final IOEventHandler handler;
    private final ResponseHeadParser parser;
    private final ReadPauser readPauser;
    private final UpstreamPool pool;
    PoolState poolState = PoolState.LEASED;
    long idleSinceNanos;
    private long idleLimitNanos;
    private boolean used;

    UpstreamConnection(
            String address,
            IOSession session,
            IOEventHandler handler,
            ResponseHeadParser parser,
            ReadPauser gate,
            UpstreamPool pool) {
        this.address = address;
        this.session = session;
        this.handler = handler;
        this.parser = parser;
        this.readPauser = gate;
        this.pool = pool;
        this.idleLimitNanos = pool.defaultIdleLimitNanos();
    }

    /**
     * Applies the idle timeout that the server announces.
     *
     * @param seconds the announced timeout, -1 if the server announces none
     */
    void keepAlive(int seconds) {
        if (seconds >= 0) {
            long announced = Math.min(seconds, MAX_IDLE_SECONDS) * 1_000_000_000L;
            idleLimitNanos = Math.max(announced / 2, announced - IDLE_MARGIN_NANOS);
        }
    }

    /** Whether the connection has been idle for so long that the server may be about to close it. */
    boolean isIdleExpired(long nowNanos) {
        return nowNanos - idleSinceNanos > idleLimitNanos;
    }

    /** Whether an earlier exchange used this connection. */
    boolean isUsed() {
        return used;
    }

    void execute(AsyncClientExchangeHandler exchange) {
        session.enqueue(new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    /**
     * Called on the I/O thread directly before a request is written. A byte that has arrived by now cannot belong to
     * the request's response, and an end of stream means that the server has closed the connection.
     *
     * @throws IOException if the connection cannot be used
     */
    void startExchange() throws IOException {
        if (parser.hasUnreadBytes() || session.channel().read(ByteBuffer.allocate(1)) != 0) {
            throw new IOException("connection: expected no bytes and no end before a request");
        }
        readPauser.resume();
        parser.setExchangeRunning(true);
    }

    /** Stops reading the current response from the socket until the receiver has capacity. */
    CapacityChannel pauseUntilUpdated(CapacityChannel channel) {
        return readPauser.pauseUntilUpdated(channel);
    }

    /** Ends the exchange and returns whether the connection can be used for another one. */
    boolean endExchange() {
        parser.setExchangeRunning(false);
        used = true;
        return !parser.hasUnreadBytes() && session.isOpen();
    }

    boolean isOpen() {
        return session.isOpen();
    }

    void close() {
        session.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void connected(IOSession ignored) throws IOException {
        handler.connected(session);
    }

    @Override
    public void inputReady(IOSession ignored, @Nullable ByteBuffer source) throws IOException {
        handler.inputReady(session, source);
    }

    @Override
    public void outputReady(IOSession ignored) throws IOException {
        handler.outputReady(session);
    }

    @Override
    public void timeout(IOSession ignored, Timeout timeout) throws IOException {
        handler.timeout(session, timeout);
    }

    @Override
    public void exception(IOSession ignored, Exception cause) {
        handler.exception(session, cause);
    }

    @Override
    public void disconnected(IOSession ignored) {
        pool.discard(this);
        handler.disconnected(session);
    }
}
