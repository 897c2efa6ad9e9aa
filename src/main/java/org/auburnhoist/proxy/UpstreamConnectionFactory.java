package org.auburnhoist.proxy;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.jspecify.annotations.Nullable;

/** Builds the protocol handlers of new upstream connections. */
final class UpstreamConnectionFactory implements IOEventHandlerFactory {
    /** Bytes of a response that are read ahead of the caller. */
    static final int WINDOW_BYTES = 32 * 1024;

    private final ProxySettings settings;
    private final UpstreamPool pool;

    UpstreamConnectionFactory(ProxySettings settings, UpstreamPool pool) {
        this.settings = settings;
        this.pool = pool;
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, @Nullable Object attachment) {
        ResponseHeadParser parser = new ResponseHeadParser(settings);
        ReadPauser gate = new ReadPauser();
        ClientHttp1StreamDuplexer duplexer = new Duplexer(session, parser, settings.maxHeadBytes, gate);
        return new UpstreamConnection(
                String.valueOf(attachment), session, new ClientHttp1IOEventHandler(duplexer), parser, gate, pool);
    }

    private static final class Duplexer extends ClientHttp1StreamDuplexer {
        private final int maxTrailerBytes;
        private final ReadPauser readPauser;

        private Duplexer(ProtocolIOSession session, ResponseHeadParser parser, int maxTrailerBytes, ReadPauser gate) {
            super(
                    session,
                    HttpProcessorBuilder.create().build(),
                    Http1Config.custom().setInitialWindowSize(WINDOW_BYTES).build(),
                    CharCodingConfig.DEFAULT,
                    (request, response, context) -> true,
                    parser,
                    DefaultHttpRequestWriterFactory.INSTANCE.create(),
                    Framing::ofResponse,
                    Framing::ofRequest,
                    null);
            this.maxTrailerBytes = maxTrailerBytes;
            this.readPauser = gate;
        }

        @Override
        protected @Nullable ContentDecoder createContentDecoder(
                long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            if (length == 0) {
                return null;
            }
            if (length == ContentLengthStrategy.CHUNKED) {
                return new ChunkedDecoder(readPauser.wrap(channel), buffer, maxTrailerBytes);
            }
            return super.createContentDecoder(length, readPauser.wrap(channel), buffer, metrics);
        }
    }
}
