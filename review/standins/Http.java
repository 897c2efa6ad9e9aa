import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message as read from a socket. */
final class Http {
    final String startLine;
    /** Header values by name in lower case. */
    final Map<String, String> headers;

    final byte[] body;
    /** Whether the body arrived whole. */
    final boolean complete;

    private Http(String startLine, Map<String, String> headers, byte[] body, boolean complete) {
        this.startLine = startLine;
        this.headers = headers;
        this.body = body;
        this.complete = complete;
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Reads the head only; null if the connection ends before it. */
    static Http readHead(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return line == null ? null : new Http(start, headers, new byte[0], true);
    }

    /** Reads a whole message; null if the connection ends before its head. */
    static Http read(InputStream in, boolean response) throws IOException {
        Http head = readHead(in);
        return head == null ? null : head.withBody(in, response);
    }

    Http withBody(InputStream in, boolean response) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean whole = true;
        try {
            if (header("Transfer-Encoding").equals("chunked")) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        whole = false;
                        break;
                    }
                    int length = Integer.parseInt(size.strip(), 16);
                    whole = copy(in, bytes, length) && line(in) != null;
                    if (length == 0 || !whole) {
                        break;
                    }
                }
            } else if (!header("Content-Length").isEmpty()) {
                whole = copy(in, bytes, Integer.parseInt(header("Content-Length")));
            } else if (response) {
                in.transferTo(bytes);
            }
        } catch (IOException broken) {
            whole = false;
        }
        return new Http(startLine, headers, bytes.toByteArray(), whole);
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] part = in.readNBytes(length);
        out.write(part);
        return part.length == length;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                return null;
            }
            bytes.write(next);
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
