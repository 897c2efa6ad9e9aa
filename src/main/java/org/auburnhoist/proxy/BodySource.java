package org.auburnhoist.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** Supplies a body to the connection that writes it. */
interface BodySource {
    /** Number of bytes that can be written; also positive when only the end of the body is left to write. */
    int available();

    /**
     * Writes as many bytes as the channel accepts.
     *
     * @return whether the end of the body was written
     */
    boolean produce(DataStreamChannel channel) throws IOException;
}
