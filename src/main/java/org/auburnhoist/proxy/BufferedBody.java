package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** A body that is held completely in memory. */
final class BufferedBody implements BodySource {
    private final ByteBuffer content;
    private boolean ended;

    BufferedBody(byte[] content) {
        this.content = ByteBuffer.wrap(content);
    }

    @Override
    public int available() {
        return ended ? 0 : Math.max(1, content.remaining());
    }

    @Override
    public boolean produce(DataStreamChannel channel) throws IOException {
        if (content.hasRemaining()) {
            channel.write(content);
        }
        if (!content.hasRemaining() && !ended) {
            ended = true;
            channel.endStream();
        }
        return ended;
    }
}
