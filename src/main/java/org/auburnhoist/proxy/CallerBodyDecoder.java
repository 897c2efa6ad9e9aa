package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.nio.ContentDecoder;

/**
 * Ends a malformed body with {@link #MALFORMED}, so that the caller can get a response before the connection closes.
 */
final class CallerBodyDecoder implements ContentDecoder {
    /** Marker returned as the trailers of a malformed body; compared by identity. */
    static final List<Header> MALFORMED = new ArrayList<>();

    private final ContentDecoder decoder;
    private boolean malformed;

    CallerBodyDecoder(ContentDecoder decoder) {
        this.decoder = decoder;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        try {
            return malformed ? -1 : decoder.read(target);
        } catch (MalformedChunkCodingException cause) {
            malformed = true;
            return -1;
        }
    }

    @Override
    public boolean isCompleted() {
        return malformed || decoder.isCompleted();
    }

    @Override
    public List<? extends Header> getTrailers() {
        return malformed ? MALFORMED : List.of();
    }
}
