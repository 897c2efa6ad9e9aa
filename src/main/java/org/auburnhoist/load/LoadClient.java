package org.auburnhoist.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.HdrHistogram.Histogram;

/**
 * Sends the same request over persistent connections, on one thread that busy-polls while it measures.
 *
 * <p>Open-loop latency is measured from the scheduled arrival, so that a stall shows in all requests it delays.
 */
final class LoadClient implements AutoCloseable {
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final long ANSWER_TIMEOUT_NANOS = 30_000_000_000L;
    private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] LENGTH = "Content-Length: ".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] SUCCESS = "HTTP/1.1 200".getBytes(StandardCharsets.ISO_8859_1);

    private final Selector selector = Selector.open();
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private final byte[] request;
    private Histogram latencies = new Histogram(MAX_LATENCY_NANOS, 3);
    private long failures;
    private int inProgress;

    private static final class Connection {
        final SocketChannel channel;
        final ByteBuffer in = ByteBuffer.allocate(16 * 1024);
        long scheduledNanos;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }
    }

    LoadClient(InetSocketAddress target, int connections, String request) throws IOException {
        this.request = request.getBytes(StandardCharsets.ISO_8859_1);
        for (int index = 0; index < connections; index++) {
            SocketChannel channel = SocketChannel.open(target);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            Connection connection = new Connection(channel);
            channel.register(selector, SelectionKey.OP_READ, connection);
            idleConnections.add(connection);
        }
    }

    /** Result of one run: latencies in nanoseconds, answers other than 200, and answers per second. */
    record Result(Histogram latencies, long failures, double perSecond) {}

    /** Open loop: sends at a fixed rate, independent of the answers, as long as a connection is idle. */
    Result openLoop(double perSecond, double seconds) throws IOException {
        return run((long) (perSecond * seconds), 1e9 / perSecond);
    }

    /** Closed loop: sends on each connection as soon as the previous answer has arrived. */
    Result closedLoop(double seconds) throws IOException {
        long start = begin();
        long end = start + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            while (!idleConnections.isEmpty()) {
                send(System.nanoTime());
            }
            receive();
        }
        return finish(start);
    }

    private Result run(long count, double intervalNanos) throws IOException {
        long start = begin();
        long sent = 0;
        while (sent < count) {
            long due = start + (long) (sent * intervalNanos);
            if (System.nanoTime() >= due && !idleConnections.isEmpty()) {
                send(due);
                sent++;
            }
            receive();
        }
        return finish(start);
    }

    private long begin() {
        latencies = new Histogram(MAX_LATENCY_NANOS, 3);
        failures = 0;
        return System.nanoTime();
    }

    private Result finish(long start) throws IOException {
        double perSecond = latencies.getTotalCount() * 1e9 / (System.nanoTime() - start);
        long limit = System.nanoTime() + ANSWER_TIMEOUT_NANOS;
        while (inProgress > 0) {
            if (System.nanoTime() > limit) {
                throw new IOException(inProgress + " requests got no answer");
            }
            receive();
        }
        return new Result(latencies, failures, perSecond);
    }

    private void send(long scheduledNanos) throws IOException {
        Connection connection = idleConnections.removeFirst();
        connection.scheduledNanos = scheduledNanos;
        inProgress++;
        ByteBuffer out = ByteBuffer.wrap(request);
        while (out.hasRemaining()) {
            connection.channel.write(out);
        }
    }

    private void receive() throws IOException {
        if (selector.selectNow() == 0) {
            return;
        }
        Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
        while (keys.hasNext()) {
            Connection connection = (Connection) keys.next().attachment();
            keys.remove();
            if (connection.channel.read(connection.in) < 0) {
                throw new IOException("the connection was closed");
            }
            if (isComplete(connection.in)) {
                latencies.recordValue(Math.max(0, System.nanoTime() - connection.scheduledNanos));
                failures += startsWith(connection.in, SUCCESS) ? 0 : 1;
                connection.in.clear();
                idleConnections.addLast(connection);
                inProgress--;
            }
        }
    }

    private static boolean isComplete(ByteBuffer in) {
        int head = indexOf(in, HEAD_END);
        int start = head < 0 ? -1 : indexOf(in, LENGTH);
        if (start < 0) {
            return false;
        }
        int length = 0;
        for (int index = start + LENGTH.length; in.get(index) >= '0' && in.get(index) <= '9'; index++) {
            length = length * 10 + in.get(index) - '0';
        }
        return in.position() >= head + HEAD_END.length + length;
    }

    /** Returns the index of a byte sequence before the buffer's position, or -1. */
    static int indexOf(ByteBuffer buffer, byte[] wanted) {
        for (int start = 0; start + wanted.length <= buffer.position(); start++) {
            int matched = 0;
            while (matched < wanted.length && buffer.get(start + matched) == wanted[matched]) {
                matched++;
            }
            if (matched == wanted.length) {
                return start;
            }
        }
        return -1;
    }

    private static boolean startsWith(ByteBuffer buffer, byte[] wanted) {
        int matched = 0;
        while (matched < wanted.length && buffer.get(matched) == wanted[matched]) {
            matched++;
        }
        return matched == wanted.length;
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
