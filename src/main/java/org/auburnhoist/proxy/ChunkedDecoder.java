package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Strict decoder of the chunked transfer coding. Trailers are read and discarded. */
final class ChunkedDecoder implements ContentDecoder {
    private static final int MAX_SIZE_LINE_LENGTH = 1024;
    private static final int MAX_SIZE_DIGITS = 15;

    private enum State {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS,
        DONE
    }

    private final ReadableByteChannel channel;
    private final SessionInputBuffer buffer;
    private final int maxTrailerBytes;
    private final CharArrayBuffer line = new CharArrayBuffer(32);
    private State state = State.SIZE;
    private long remaining;
    private int trailerBytes;
    private boolean endOfStream;

    ChunkedDecoder(ReadableByteChannel channel, SessionInputBuffer buffer, int maxTrailerBytes) {
        this.channel = channel;
        this.buffer = buffer;
        this.maxTrailerBytes = maxTrailerBytes;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int total = 0;
        while (target.hasRemaining() && state != State.DONE) {
            if (state == State.DATA) {
                int count = readData(target);
                if (count == 0) {
                    break;
                }
                total += count;
            } else if (!readLine()) {
                break;
            }
        }
        return state == State.DONE && total == 0 ? -1 : total;
    }

    @Override
    public boolean isCompleted() {
        return state == State.DONE;
    }

    @Override
    public List<? extends Header> getTrailers() {
        return List.of();
    }

    private int readData(ByteBuffer target) throws IOException {
        if (!buffer.hasData()) {
            fillBuffer();
        }
        int count = buffer.hasData() ? buffer.read(target, (int) Math.min(remaining, target.remaining())) : 0;
        remaining -= count;
        if (remaining == 0) {
            state = State.DATA_END;
        }
        if (count == 0) {
            failAtEndOfStream();
        }
        return count;
    }

    private boolean readLine() throws IOException {
        line.clear();
        if (!buffer.readLine(line, false)) {
            if (buffer.length() > MAX_SIZE_LINE_LENGTH + maxTrailerBytes) {
                throw new MalformedChunkCodingException("chunk line: expected a line end");
            }
            if (fillBuffer() <= 0) {
                failAtEndOfStream();
                return false;
            }
            return true;
        }
        processLine(line.toString());
        return true;
    }

    private void processLine(String text) throws IOException {
        switch (state) {
            case SIZE -> {
                remaining = parseSize(text);
                state = remaining == 0 ? State.TRAILERS : State.DATA;
            }
            case DATA_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedChunkCodingException("chunk: expected a line end after its data");
                }
                state = State.SIZE;
            }
            default -> processTrailer(text);
        }
    }

    private void processTrailer(String text) throws IOException {
        trailerBytes += text.length() + 2;
        if (trailerBytes > maxTrailerBytes) {
            throw new MalformedChunkCodingException("trailers: expected at most " + maxTrailerBytes + " bytes");
        }
        if (text.isEmpty()) {
            state = State.DONE;
        }
    }

    private static long parseSize(String text) throws IOException {
        int end = text.indexOf(';');
        String digits = (end < 0 ? text : text.substring(0, end)).stripTrailing();
        if (digits.isEmpty() || digits.length() > MAX_SIZE_DIGITS || text.length() > MAX_SIZE_LINE_LENGTH) {
            throw new MalformedChunkCodingException("chunk size: expected 1 to " + MAX_SIZE_DIGITS + " digits");
        }
        long size = 0;
        for (int index = 0; index < digits.length(); index++) {
            char character = digits.charAt(index);
            int digit = character < 0x80 ? Character.digit(character, 16) : -1;
            if (digit < 0) {
                throw new MalformedChunkCodingException("chunk size: expected hexadecimal digits");
            }
            size = size * 16 + digit;
        }
        return size;
    }

    private int fillBuffer() throws IOException {
        int count = buffer.fill(channel);
        endOfStream |= count == -1;
        return count;
    }

    private void failAtEndOfStream() throws IOException {
        if (endOfStream) {
            throw new ConnectionClosedException("chunked body: ended before its last chunk");
        }
    }
}
