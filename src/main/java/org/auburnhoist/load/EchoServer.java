package org.auburnhoist.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;

/**
 * An upstream server with minimal cost: one thread sends the same answer to every request head. For paths that contain
 * {@value #BODY_PATH}, it sends a body of the given length instead. Request bodies are not supported.
 */
final class EchoServer implements AutoCloseable {
    /** Path prefix of answers with a large body; the number of bytes follows it. */
    static final String BODY_PATH = "/archive/";

    private static final int BUFFER_BYTES = 64 * 1024;
    private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
            .getBytes(StandardCharsets.ISO_8859_1);

    private final Selector selector = Selector.open();
    private final ServerSocketChannel acceptor = ServerSocketChannel.open();

    private EchoServer() throws IOException {
        acceptor.bind(new InetSocketAddress("127.0.0.1", 0), 4096);
        acceptor.configureBlocking(false);
        acceptor.register(selector, SelectionKey.OP_ACCEPT);
        Thread thread = new Thread(this::serve, "load-echo");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts a server on a free loopback port. */
    static EchoServer start() throws IOException {
        return new EchoServer();
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) acceptor.getLocalAddress();
    }

    @Override
    public void close() throws IOException {
        selector.close();
        acceptor.close();
    }

    private static final class Connection {
        final ByteBuffer in = ByteBuffer.allocate(BUFFER_BYTES);
        ByteBuffer out = ByteBuffer.allocate(0);
        long remainingBodyBytes;
    }

    private void serve() {
        try {
            while (true) {
                selector.select();
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    handle(key);
                }
            }
        } catch (IOException | ClosedSelectorException closed) {
            // The server was closed.
        }
    }

    private void handle(SelectionKey key) throws IOException {
        if (key.isAcceptable()) {
            SocketChannel accepted = acceptor.accept();
            if (accepted != null) {
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
                accepted.configureBlocking(false);
                accepted.register(selector, SelectionKey.OP_READ, new Connection());
            }
            return;
        }
        Connection connection = (Connection) key.attachment();
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isReadable() && channel.read(connection.in) < 0) {
                channel.close();
                return;
            }
            answer(connection);
            write(key, channel, connection);
        } catch (IOException broken) {
            channel.close();
        }
    }

    private static void answer(Connection connection) {
        if (connection.out.hasRemaining() || connection.remainingBodyBytes > 0) {
            return;
        }
        int end = LoadClient.indexOf(connection.in, HEAD_END);
        if (end < 0) {
            return;
        }
        String line = new String(connection.in.array(), 0, Math.min(end, 200), StandardCharsets.ISO_8859_1);
        connection.out = ByteBuffer.wrap(line.contains(BODY_PATH) ? bodyHead(connection, line) : ANSWER);
        connection.in.flip().position(end + HEAD_END.length);
        connection.in.compact();
    }

    private static byte[] bodyHead(Connection connection, String line) {
        int start = line.indexOf(BODY_PATH) + BODY_PATH.length();
        connection.remainingBodyBytes = Long.parseLong(line.substring(start, line.indexOf(' ', start)));
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + connection.remainingBodyBytes + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void write(SelectionKey key, SocketChannel channel, Connection connection) throws IOException {
        while (connection.out.hasRemaining() || connection.remainingBodyBytes > 0) {
            if (!connection.out.hasRemaining()) {
                int size = (int) Math.min(connection.remainingBodyBytes, BUFFER_BYTES);
                connection.out = ByteBuffer.allocate(size);
                connection.remainingBodyBytes -= size;
            }
            if (channel.write(connection.out) == 0) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
        }
        key.interestOps(SelectionKey.OP_READ);
    }
}
