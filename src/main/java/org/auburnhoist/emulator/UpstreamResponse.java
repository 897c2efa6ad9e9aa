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
 * A response of an emulated server.
 *
 * @param status HTTP status
 * @param headers headers other than those for message framing
 * @param contentType media type of the body
 * @param length length of the body in bytes
 * @param bodyPart returns the part of the body that starts at an offset, at most 8 KiB of a download
 */
record UpstreamResponse(
        int status, List<Header> headers, ContentType contentType, long length, LongFunction<ByteBuffer> bodyPart) {
    private static final int MAX_PART_BYTES = 8192;

    static UpstreamResponse json(int status, List<Header> headers, String json) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        return new UpstreamResponse(
                status,
                headers,
                ContentType.APPLICATION_JSON,
                body.length,
                offset -> ByteBuffer.wrap(body, (int) offset, body.length - (int) offset));
    }

    /** The requested range of a download; the byte at index {@code i} is {@link #byteAt} of the path and {@code i}. */
    static UpstreamResponse download(HttpRequest request, String path, long size, List<Header> headers) {
        String tag = "\"" + size + "-" + Integer.toHexString(path.hashCode()) + "\"";
        List<Header> allHeaders = new ArrayList<>(headers);
        allHeaders.add(new BasicHeader("ETag", tag));
        allHeaders.add(new BasicHeader("Accept-Ranges", "bytes"));
        Header ifRange = request.getFirstHeader("If-Range");
        boolean unchanged = ifRange == null || ifRange.getValue().equals(tag);
        Header range = request.getFirstHeader("Range");
        long[] bounds = unchanged && range != null ? parseRange(range.getValue(), size) : null;
        if (bounds == null) {
            return rangeResponse(200, allHeaders, path, 0, size);
        }
        if (bounds[0] > bounds[1]) {
            allHeaders.add(new BasicHeader("Content-Range", "bytes */" + size));
            return rangeResponse(416, allHeaders, path, 0, 0);
        }
        allHeaders.add(new BasicHeader("Content-Range", "bytes " + bounds[0] + "-" + bounds[1] + "/" + size));
        return rangeResponse(206, allHeaders, path, bounds[0], bounds[1] + 1);
    }

    static byte byteAt(String path, long index) {
        return (byte) (index * 31 + (index >>> 8) + path.hashCode());
    }

    private static UpstreamResponse rangeResponse(int status, List<Header> headers, String path, long first, long end) {
        return new UpstreamResponse(status, headers, ContentType.APPLICATION_OCTET_STREAM, end - first, offset -> {
            byte[] part = new byte[(int) Math.min(MAX_PART_BYTES, end - first - offset)];
            for (int index = 0; index < part.length; index++) {
                part[index] = byteAt(path, first + offset + index);
            }
            return ByteBuffer.wrap(part);
        });
    }

    /** Index of the first and last byte of a single range; null if the header is to be ignored. */
    private static long @Nullable [] parseRange(String header, long size) {
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
