package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * Keeps the bytes of a body in the sender's socket while the receiver has no room for them.
 *
 * <p>The library reads on as long as the socket has bytes, whatever capacity was declared, so a sender that is as quick
 * as the reader would fill the memory.
 */
final class ReadPauser {
    private volatile boolean closed;

    /** A channel that has no bytes while the gate is closed. */
    ReadableByteChannel guard(ReadableByteChannel channel) {
        return new ReadableByteChannel() {
            @Override
            public int read(ByteBuffer target) throws IOException {
                return closed ? 0 : channel.read(target);
            }

            @Override
            public boolean isOpen() {
                return channel.isOpen();
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    /** Closes the gate until the returned channel gets new capacity. */
    CapacityChannel closeUntilUpdated(CapacityChannel channel) {
        closed = true;
        return increment -> {
            closed = false;
            channel.update(increment);
        };
    }

    /** Lets bytes through, for a body that begins. */
    void open() {
        closed = false;
    }
}
