package org.auburnhoist.proxy;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.jspecify.annotations.Nullable;

/** Builds the protocol handlers of accepted connections. */
final class CallerConnectionFactory implements IOEventHandlerFactory {
    /** Initial size of a connection's buffers, which grow when needed; most connections are idle most of the time. */
    private static final int BUFFER_BYTES = 2048;

    private final ProxyServer server;

    CallerConnectionFactory(ProxyServer server) {
        this.server = server;
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, @Nullable Object attachment) {
        CallerConnection connection = new CallerConnection(session, server);
        connection.setHandler(new ServerHttp1IOEventHandler(new Duplexer(session, connection)), this);
        return connection;
    }

    private static final class Duplexer extends ServerHttp1StreamDuplexer {
        private final int maxTrailerBytes;
        private final ReadPauser readPauser;

        private Duplexer(ProtocolIOSession session, CallerConnection connection) {
            super(
                    session,
                    HttpProcessorBuilder.create().build(),
                    (request, context) -> new CallerExchange(connection),
                    URIScheme.HTTP.id,
                    Http1Config.custom()
                            .setBufferSize(BUFFER_BYTES)
                            .setMaxLineLength(connection.server().settings().maxHeadBytes)
                            .setInitialWindowSize(CallerExchange.READ_AHEAD_BYTES)
                            .build(),
                    CharCodingConfig.DEFAULT,
                    // CallerConnection closes the connection itself, so that the last response is not lost.
                    (request, response, context) -> true,
                    new RequestHeadParser(connection, connection.server().settings()),
                    DefaultHttpResponseWriterFactory.INSTANCE.create(),
                    Framing::ofRequest,
                    Framing::ofResponse,
                    null,
                    ProxyServer::logIoFailure);
            this.maxTrailerBytes = connection.server().settings().maxHeadBytes;
            this.readPauser = connection.readPauser();
        }

        @Override
        protected @Nullable ContentDecoder createContentDecoder(
                long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            if (length == 0) {
                return null;
            }
            if (length == ContentLengthStrategy.CHUNKED) {
                return new CallerBodyDecoder(new ChunkedDecoder(readPauser.wrap(channel), buffer, maxTrailerBytes));
            }
            return super.createContentDecoder(length, readPauser.wrap(channel), buffer, metrics);
        }
    }
}
