package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * Pauses reading a body from the sender's socket while the receiver has no capacity.
 *
 * <p>HttpCore reads for as long as the socket has bytes, regardless of the declared capacity, so a sender that is as
 * fast as the reader would exhaust the memory.
 */
final class ReadPauser {
    private volatile boolean paused;

    /** Wraps a channel so that it returns no bytes while reading is paused. */
    ReadableByteChannel wrap(ReadableByteChannel channel) {
        return new ReadableByteChannel() {
            @Override
            public int read(ByteBuffer target) throws IOException {
                return paused ? 0 : channel.read(target);
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

    /** Pauses reading until the returned channel receives new capacity. */
    CapacityChannel pauseUntilUpdated(CapacityChannel channel) {
        paused = true;
        return increment -> {
            paused = false;
            channel.update(increment);
        };
    }

    /** Resumes reading, for a new body. */
    void resume() {
        paused = false;
    }
}
