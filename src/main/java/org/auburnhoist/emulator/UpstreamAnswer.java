package org.auburnhoist.emulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHeader;
import org.jspecify.annotations.Nullable;

/**
 * An answer of an emulated server.
 *
 * @param status HTTP status
 * @param headers headers other than those of the framing
 * @param contentType of the body
 * @param length of the body in bytes
 * @param bytes gives the part of the body at an offset, at most a few kilobytes
 */
record UpstreamAnswer(
        int status, List<Header> headers, ContentType contentType, long length, LongFunction<ByteBuffer> bytes) {
    private static final int PART_BYTES = 8192;

    static UpstreamAnswer text(int status, List<Header> headers, String json) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        return new UpstreamAnswer(
                status,
                headers,
                ContentType.APPLICATION_JSON,
                body.length,
                offset -> ByteBuffer.wrap(body, (int) offset, body.length - (int) offset));
    }

    /** The requested range of a download; byte {@code i} of a download is {@link #byteAt} of its path and {@code i}. */
    static UpstreamAnswer download(HttpRequest request, String path, long size, List<Header> headers) {
        String tag = "\"" + size + "-" + Integer.toHexString(path.hashCode()) + "\"";
        List<Header> all = new ArrayList<>(headers);
        all.add(new BasicHeader("ETag", tag));
        all.add(new BasicHeader("Accept-Ranges", "bytes"));
        Header condition = request.getFirstHeader("If-Range");
        boolean unchanged = condition == null || condition.getValue().equals(tag);
        Header range = request.getFirstHeader("Range");
        long[] bounds = unchanged && range != null ? bounds(range.getValue(), size) : null;
        if (bounds == null) {
            return part(200, all, path, 0, size);
        }
        if (bounds[0] > bounds[1]) {
            all.add(new BasicHeader("Content-Range", "bytes */" + size));
            return part(416, all, path, 0, 0);
        }
        all.add(new BasicHeader("Content-Range", "bytes " + bounds[0] + "-" + bounds[1] + "/" + size));
        return part(206, all, path, bounds[0], bounds[1] + 1);
    }

    static byte byteAt(String path, long index) {
        return (byte) (index * 31 + (index >>> 8) + path.hashCode());
    }

    private static UpstreamAnswer part(int status, List<Header> headers, String path, long first, long end) {
        return new UpstreamAnswer(status, headers, ContentType.APPLICATION_OCTET_STREAM, end - first, offset -> {
            byte[] part = new byte[(int) Math.min(PART_BYTES, end - first - offset)];
            for (int index = 0; index < part.length; index++) {
                part[index] = byteAt(path, first + offset + index);
            }
            return ByteBuffer.wrap(part);
        });
    }

    /** First and last byte of a single range, null if the header is to be ignored. */
    private static long @Nullable [] bounds(String header, long size) {
        if (!header.matches("bytes=(\\d{1,15}-\\d{0,15}|-\\d{1,15})")) {
            return null;
        }
        String[] parts = header.substring("bytes=".length()).split("-", -1);
        if (parts[0].isEmpty()) {
            return new long[] {Math.max(0, size - Long.parseLong(parts[1])), size - 1};
        }
        long last = parts[1].isEmpty() ? size - 1 : Math.min(size - 1, Long.parseLong(parts[1]));
        return new long[] {Long.parseLong(parts[0]), last};
    }
}
