package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** A connection to an upstream server; it serves one exchange at a time. */
final class UpstreamConnection implements IOEventHandler {
    /** Where the connection is in the pool; guarded by the pool's lock. */
    enum Place {
        LEASED,
        IDLE,
        CLOSED
    }

    final String address;
    private final IOSession session;
    private final IOEventHandler handler;
    private final AnswerHeadParser parser;
    private final UpstreamPool pool;
    Place place = Place.LEASED;
    long idleSinceNanos;
    private boolean used;

    UpstreamConnection(
            String address, IOSession session, IOEventHandler handler, AnswerHeadParser parser, UpstreamPool pool) {
        this.address = address;
        this.session = session;
        this.handler = handler;
        this.parser = parser;
        this.pool = pool;
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
     * the request's answer, and an end of stream means that the server has closed the connection.
     *
     * @throws IOException if the connection cannot be used
     */
    void startExchange() throws IOException {
        if (parser.hasLeftover() || session.channel().read(ByteBuffer.allocate(1)) != 0) {
            throw new IOException("connection: expected no bytes and no end before a request");
        }
        parser.setExchangeRunning(true);
    }

    /** Ends the exchange; returns whether the connection is in a state that allows another one. */
    boolean endExchange() {
        parser.setExchangeRunning(false);
        used = true;
        return !parser.hasLeftover() && session.isOpen();
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
