package org.auburnhoist.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Reads and writes length-prefixed frames on one connection with non-blocking I/O.
 *
 * <p>A frame is a four-byte length followed by that many bytes. The write queue is bounded; when it is full because the
 * peer reads too slowly, the connection is closed.
 */
final class FrameChannel {
    /** Largest frame accepted or sent, in bytes. */
    static final int MAX_FRAME_BYTES = 2 << 20;

    private static final int LENGTH_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 4096;
    private static final int MAX_QUEUED_BYTES = 2 * MAX_FRAME_BYTES;
    private static final int MAX_FRAMES_PER_WRITE = 64;

    private final AsynchronousSocketChannel channel;
    private final FrameListener listener;
    private final Deque<ByteBuffer> writeQueue = new ArrayDeque<>();
    private final TrafficCounter traffic;
    private ByteBuffer readBuffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private int queuedBytes;
    private boolean writing;
    private boolean closed;

    FrameChannel(AsynchronousSocketChannel channel, FrameListener listener, TrafficCounter traffic) {
        this.channel = channel;
        this.listener = listener;
        this.traffic = traffic;
    }

    /** Receives the events of a channel; its methods are called one at a time. */
    interface FrameListener {
        /** Called when a complete frame has been received. */
        void frameReceived(byte[] content);

        /** Called once, when the connection has been closed. */
        void channelClosed(String reason);
    }

    void startReading() {
        channel.read(readBuffer, null, new ReadHandler());
    }

    void send(byte[] content) {
        ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + content.length);
        frame.putInt(content.length).put(content).flip();
        synchronized (writeQueue) {
            if (closed) {
                return;
            }
            queuedBytes += frame.remaining();
            if (queuedBytes <= MAX_QUEUED_BYTES) {
                writeQueue.add(frame);
                if (!writing) {
                    writing = true;
                    writeQueuedFrames();
                }
                return;
            }
        }
        close("peer reads too slowly: more than " + MAX_QUEUED_BYTES + " bytes are queued");
    }

    void close(String reason) {
        synchronized (writeQueue) {
            if (closed) {
                return;
            }
            closed = true;
            writeQueue.clear();
        }
        try {
            channel.close();
        } catch (IOException ignored) {
            // The connection is discarded; its file descriptor is released even if closing fails.
        }
        listener.channelClosed(reason);
    }

    private boolean isClosed() {
        synchronized (writeQueue) {
            return closed;
        }
    }

    private void writeQueuedFrames() {
        ByteBuffer[] buffers = writeQueue.stream().limit(MAX_FRAMES_PER_WRITE).toArray(ByteBuffer[]::new);
        channel.write(buffers, 0, buffers.length, 0, TimeUnit.MILLISECONDS, null, new WriteHandler());
    }

    private void parseFrames() {
        readBuffer.flip();
        while (!isClosed() && readBuffer.remaining() >= LENGTH_BYTES) {
            int length = readBuffer.getInt(readBuffer.position());
            if (length < 0 || length > MAX_FRAME_BYTES) {
                close("frame length: expected 0 to " + MAX_FRAME_BYTES + ", got " + length);
                return;
            }
            if (readBuffer.remaining() < LENGTH_BYTES + length) {
                ensureCapacity(LENGTH_BYTES + length);
                break;
            }
            readBuffer.getInt();
            byte[] content = new byte[length];
            readBuffer.get(content);
            listener.frameReceived(content);
        }
        compactReadBuffer();
    }

    private void ensureCapacity(int requiredBytes) {
        if (readBuffer.capacity() < requiredBytes) {
            readBuffer = ByteBuffer.allocate(requiredBytes).put(readBuffer).flip();
        }
    }

    private void compactReadBuffer() {
        if (!readBuffer.hasRemaining() && readBuffer.capacity() > 16 * INITIAL_BUFFER_BYTES) {
            readBuffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
        } else {
            readBuffer.compact();
        }
    }

    private final class ReadHandler implements CompletionHandler<Integer, Void> {
        @Override
        public void completed(Integer count, Void attachment) {
            if (count < 0) {
                close("peer closed the connection");
                return;
            }
            traffic.addReceivedBytes(count);
            parseFrames();
            if (!isClosed()) {
                channel.read(readBuffer, null, this);
            }
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            close("read failed: " + cause);
        }
    }

    private final class WriteHandler implements CompletionHandler<Long, Void> {
        @Override
        public void completed(Long count, Void attachment) {
            traffic.addSentBytes(count);
            synchronized (writeQueue) {
                queuedBytes -= (int) (long) count;
                while (!writeQueue.isEmpty() && !writeQueue.peek().hasRemaining()) {
                    writeQueue.poll();
                }
                writing = !closed && !writeQueue.isEmpty();
                if (writing) {
                    writeQueuedFrames();
                }
            }
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            close("write failed: " + cause);
        }
    }
}
