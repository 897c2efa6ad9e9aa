package org.auburnhoist.proxy;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Sends and receives raw HTTP/1.1 bytes, as a client or a server, so that tests can violate the protocol. */
public final class RawConnection implements AutoCloseable {
    /** Only prevents a test from hanging. */
    private static final int READ_TIMEOUT_MILLIS = 60_000;

    final Socket socket;
    private final InputStream input;

    RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        input = new java.io.BufferedInputStream(socket.getInputStream());
    }

    /** Opens a connection to an address. */
    public static RawConnection to(InetSocketAddress address) throws IOException {
        return new RawConnection(new Socket(address.getAddress(), address.getPort()));
    }

    /** Sends text. */
    public RawConnection send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    RawConnection send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** Reads up to and including the empty line; null at the end of the stream. */
    public String readHead() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int lineLength = 0;
        int value;
        while ((value = input.read()) >= 0) {
            head.write(value);
            if (value == '\n' && lineLength == 0) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
            lineLength = value == '\n' ? 0 : value == '\r' ? lineLength : lineLength + 1;
        }
        if (head.size() > 0) {
            throw new EOFException("within a head");
        }
        return null;
    }

    byte[] readBytes(int count) throws IOException {
        byte[] bytes = input.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("got " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    /** Reads the body that belongs to a head, to the end of its framing. */
    public byte[] readBody(String head) throws IOException {
        String length = header(head, "Content-Length");
        if (length != null) {
            return readBytes(Integer.parseInt(length));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(header(head, "Transfer-Encoding"))) {
            int size;
            do {
                size = Integer.parseInt(readLine(), 16);
                body.writeBytes(readBytes(size));
                readLine();
            } while (size > 0);
        }
        return body.toByteArray();
    }

    /** Reads a head and its body as one text. */
    String readMessage() throws IOException {
        String head = readHead();
        if (head == null) {
            throw new EOFException("before a message");
        }
        return head + new String(readBody(head), StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int value;
        while ((value = input.read()) != '\n') {
            if (value < 0) {
                throw new EOFException("within a line");
            }
            line.append((char) value);
        }
        return line.toString().strip();
    }

    int read() throws IOException {
        return input.read();
    }

    /** The value of a header, or null. */
    public static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return null;
    }

    /** Closes the connection with a TCP reset instead of an orderly shutdown. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
