package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reads one message head line by line and rejects everything that receivers could interpret differently.
 *
 * <p>Framing is checked here as well: the result has either one {@code Transfer-Encoding: chunked}, or at most one
 * {@code Content-Length}.
 */
final class MessageHead {
    private final int maxBytes;
    private final int maxHeaders;
    private final CharArrayBuffer line = new CharArrayBuffer(256);
    private final List<Header> headers = new ArrayList<>();
    private String startLine = "";
    /** The received part of an incomplete start line. */
    private String partialStartLine = "";

    private int bytes;

    MessageHead(int maxBytes, int maxHeaders) {
        this.maxBytes = maxBytes;
        this.maxHeaders = maxHeaders;
    }

    /**
     * Reads the available bytes of the buffer.
     *
     * @return whether the head is complete
     * @throws MalformedHeadException if the head is ambiguous or exceeds a limit
     */
    boolean read(SessionInputBuffer buffer) throws IOException, MalformedHeadException {
        while (nextLine(buffer)) {
            if (startLine.isEmpty()) {
                readStartLine();
            } else if (line.isEmpty()) {
                checkFraming();
                return true;
            } else {
                readHeader();
            }
        }
        if (bytes + buffer.length() > maxBytes) {
            throw MalformedHeadException.tooLarge("head: expected at most " + maxBytes + " bytes");
        }
        if (startLine.isEmpty() && buffer.hasData()) {
            consumePartialStartLine(buffer);
        }
        return false;
    }

    /** Consumes an incomplete start line, so that bytes of another protocol are detected at once. */
    private void consumePartialStartLine(SessionInputBuffer buffer) throws MalformedHeadException {
        ByteBuffer taken = ByteBuffer.allocate(buffer.length());
        buffer.read(taken);
        partialStartLine += new String(taken.array(), 0, taken.position(), StandardCharsets.ISO_8859_1);
        bytes += taken.position();
        boolean endsWithCarriageReturn = partialStartLine.endsWith("\r");
        checkCharacters(
                endsWithCarriageReturn
                        ? partialStartLine.substring(0, partialStartLine.length() - 1)
                        : partialStartLine);
    }

    /** The received part of an incomplete start line. */
    String partialStartLine() {
        return partialStartLine;
    }

    /** Whether any byte of the head has been consumed. */
    boolean isStarted() {
        return bytes > 0;
    }

    String startLine() {
        return startLine;
    }

    List<Header> headers() {
        return headers;
    }

    private boolean nextLine(SessionInputBuffer buffer) throws IOException, MalformedHeadException {
        line.clear();
        // The constant is false because a partial line at the end of the stream is never accepted as a line.
        try {
            if (!buffer.readLine(line, false)) {
                return false;
            }
        } catch (MessageConstraintException cause) {
            throw MalformedHeadException.tooLarge("head: expected at most " + maxBytes + " bytes");
        }
        bytes += line.length() + 2;
        if (bytes > maxBytes) {
            throw MalformedHeadException.tooLarge("head: expected at most " + maxBytes + " bytes");
        }
        return true;
    }

    private void readStartLine() throws MalformedHeadException {
        String whole = partialStartLine + line;
        partialStartLine = "";
        startLine = whole.endsWith("\r") ? whole.substring(0, whole.length() - 1) : whole;
        checkCharacters(startLine);
    }

    private void readHeader() throws MalformedHeadException {
        String text = line.toString();
        if (text.charAt(0) == ' ' || text.charAt(0) == '\t') {
            throw new MalformedHeadException("header: expected no line folding");
        }
        checkCharacters(text);
        int colon = text.indexOf(':');
        if (colon < 1 || !isToken(text.substring(0, colon))) {
            throw new MalformedHeadException("header: expected a name, directly followed by a colon");
        }
        if (headers.size() >= maxHeaders) {
            throw MalformedHeadException.tooLarge("headers: expected at most " + maxHeaders);
        }
        headers.add(new BasicHeader(
                text.substring(0, colon), text.substring(colon + 1).strip()));
    }

    private static void checkCharacters(String text) throws MalformedHeadException {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if ((character < ' ' && character != '\t') || character == 0x7f) {
                throw new MalformedHeadException("head: expected no control characters");
            }
        }
    }

    static boolean isToken(String text) {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            boolean letterOrDigit = (character >= 'a' && character <= 'z')
                    || (character >= 'A' && character <= 'Z')
                    || (character >= '0' && character <= '9');
            if (!letterOrDigit && "!#$%&'*+-.^_`|~".indexOf(character) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private void checkFraming() throws MalformedHeadException {
        Header length = null;
        Header coding = null;
        List<Header> repeated = new ArrayList<>();
        for (Header header : headers) {
            if (header.getName().equalsIgnoreCase("Content-Length")) {
                if (length != null && !length.getValue().equals(header.getValue())) {
                    throw new MalformedHeadException("Content-Length: expected one value");
                }
                if (length != null) {
                    repeated.add(header);
                }
                length = header;
            } else if (header.getName().equalsIgnoreCase("Transfer-Encoding")) {
                if (coding != null || !header.getValue().equalsIgnoreCase("chunked")) {
                    throw new MalformedHeadException("Transfer-Encoding: expected chunked alone");
                }
                coding = header;
            }
        }
        if (length != null && coding != null) {
            throw new MalformedHeadException("framing: expected Content-Length or Transfer-Encoding, got both");
        }
        if (length != null) {
            parseLength(length.getValue());
        }
        headers.removeAll(repeated);
    }

    private static void parseLength(String value) throws MalformedHeadException {
        boolean digits = !value.isEmpty() && value.length() <= 18;
        for (int index = 0; index < value.length(); index++) {
            digits &= value.charAt(index) >= '0' && value.charAt(index) <= '9';
        }
        if (!digits) {
            throw new MalformedHeadException("Content-Length: expected a number of bytes");
        }
    }
}
