package org.auburnhoist.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** Supplies a body to the connection that writes it. */
interface BodySource {
    /** Bytes ready for writing; positive also when only the end is left to write. */
    int available();

    /**
     * Writes as much as the channel takes.
     *
     * @return whether the end of the body was written
     */
    boolean produce(DataStreamChannel channel) throws IOException;
}
