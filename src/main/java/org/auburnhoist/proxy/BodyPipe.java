package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;

/**
 * Bounded buffer between the I/O thread that reads a body and the one that writes it.
 *
 * <p>The reader gets new capacity only after the writer has drained half of the window, so a slow receiver slows down
 * the sender. The buffer holds at most the window and one read buffer.
 */
final class BodyPipe implements BodySource {
    private static final int MIN_CHUNK_BYTES = 1024;

    private final int window;
    private final Deque<ByteBuffer> chunks = new ArrayDeque<>();
    private int buffered;
    private long writtenBytes;
    private long expectedBytes = -1;
    private boolean ended;
    private boolean endWritten;
    private boolean discarding;
    private @Nullable CapacityChannel blockedReader;
    private @Nullable DataStreamChannel writer;

    BodyPipe(int window) {
        this.window = window;
    }

    void append(ByteBuffer source) {
        DataStreamChannel writerToWake;
        synchronized (this) {
            if (discarding) {
                source.position(source.limit());
                return;
            }
            buffered += source.remaining();
            fillLastChunk(source);
            if (source.hasRemaining()) {
                ByteBuffer chunk = ByteBuffer.allocate(Math.max(MIN_CHUNK_BYTES, source.remaining()));
                chunks.add(chunk.put(source).flip());
            }
            writerToWake = writer;
        }
        wakeWriter(writerToWake);
    }

    /** Fills the free space of the last chunk, so that a sender of single bytes does not cost one buffer per byte. */
    private void fillLastChunk(ByteBuffer source) {
        ByteBuffer last = chunks.peekLast();
        if (last == null) {
            return;
        }
        int start = last.limit();
        int count = Math.min(last.capacity() - start, source.remaining());
        last.limit(start + count);
        ByteBuffer part = source.duplicate();
        part.limit(part.position() + count);
        last.duplicate().position(start).put(part);
        source.position(part.limit());
    }

    /**
     * Sets the announced length. The stream ends after that many bytes, where the receiver also considers it complete.
     */
    synchronized void setExpectedLength(long length) {
        expectedBytes = length;
    }

    void end() {
        DataStreamChannel writerToWake;
        synchronized (this) {
            ended = true;
            writerToWake = writer;
        }
        wakeWriter(writerToWake);
    }

    /** Discards the buffered bytes and all bytes that arrive later. */
    void discard() throws IOException {
        CapacityChannel reader;
        synchronized (this) {
            discarding = true;
            chunks.clear();
            buffered = 0;
            reader = blockedReader;
            blockedReader = null;
        }
        if (reader != null) {
            reader.update(window);
        }
    }

    /** Called when the reader has used up its capacity. */
    void capacityExhausted(CapacityChannel reader) throws IOException {
        int credit;
        synchronized (this) {
            credit = credit();
            blockedReader = credit > 0 ? null : reader;
        }
        if (credit > 0) {
            reader.update(credit);
        }
    }

    synchronized boolean isEnded() {
        return ended;
    }

    /** Whether the reader waits for the writer to free capacity. */
    synchronized boolean isFull() {
        return blockedReader != null;
    }

    synchronized boolean isEndWritten() {
        return endWritten;
    }

    synchronized boolean isEmpty() {
        return buffered == 0;
    }

    /** Removes and returns the whole content; the pipe must have ended. */
    synchronized byte[] drain() {
        ByteBuffer all = ByteBuffer.allocate(buffered);
        chunks.forEach(all::put);
        chunks.clear();
        buffered = 0;
        return all.array();
    }

    @Override
    public synchronized int available() {
        if (buffered > 0) {
            return buffered;
        }
        return ended && !endWritten ? 1 : 0;
    }

    @Override
    public boolean produce(DataStreamChannel channel) throws IOException {
        CapacityChannel reader = null;
        int credit;
        boolean done;
        synchronized (this) {
            writer = channel;
            writeChunks(channel);
            if (chunks.isEmpty() && (ended || writtenBytes == expectedBytes) && !endWritten) {
                endWritten = true;
                channel.endStream();
            }
            done = endWritten;
            credit = credit();
            if (credit > 0) {
                reader = blockedReader;
                blockedReader = null;
            }
        }
        if (reader != null) {
            reader.update(credit);
        }
        return done;
    }

    private void writeChunks(DataStreamChannel channel) throws IOException {
        while (!chunks.isEmpty()) {
            ByteBuffer chunk = chunks.element();
            int before = chunk.remaining();
            channel.write(chunk);
            buffered -= before - chunk.remaining();
            writtenBytes += before - chunk.remaining();
            if (chunk.hasRemaining()) {
                return;
            }
            chunks.remove();
        }
    }

    private int credit() {
        if (discarding) {
            return window;
        }
        return buffered <= window / 2 ? window - buffered : 0;
    }

    private static void wakeWriter(@Nullable DataStreamChannel writer) {
        if (writer != null) {
            writer.requestOutput();
        }
    }
}
