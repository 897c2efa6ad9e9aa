package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * Progress of a response whose remainder can be requested from another server.
 *
 * <p>A strong entity tag identifies the same bytes on every server, so a partial response with the same tag continues
 * the response.
 */
final class ResumableResponse {
    private static final Pattern CONTENT_RANGE = Pattern.compile("bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})");

    private final String entityTag;
    private final long length;
    private long received;

    private ResumableResponse(String entityTag, long length) {
        this.entityTag = entityTag;
        this.length = length;
    }

    /**
     * Starts to track a response if it can be resumed.
     *
     * @param length length of the body in bytes, negative if unknown
     * @return null if the response cannot be resumed
     */
    static @Nullable ResumableResponse of(
            RequestHead request, int status, List<Map.Entry<String, String>> headers, long length) {
        String tag = value(headers, "ETag");
        boolean strong = tag != null && tag.length() >= 2 && tag.startsWith("\"") && tag.endsWith("\"");
        boolean whole = request.method().equals("GET")
                && status == 200
                && request.header("Range") == null
                && request.header("If-Range") == null;
        return tag != null && strong && whole ? new ResumableResponse(tag, length) : null;
    }

    void received(int bytes) {
        received += bytes;
    }

    void addRange(BasicHttpRequest request) {
        request.setHeader("Range", "bytes=" + received + "-");
        request.setHeader("If-Range", entityTag);
    }

    /** Whether another response is exactly the remainder of this one. */
    boolean isContinuedBy(int status, List<Map.Entry<String, String>> headers, long partLength) {
        String range = value(headers, "Content-Range");
        if (status != 206 || range == null || !entityTag.equals(value(headers, "ETag"))) {
            return false;
        }
        Matcher matcher = CONTENT_RANGE.matcher(range);
        if (!matcher.matches()) {
            return false;
        }
        long first = Long.parseLong(matcher.group(1));
        long last = Long.parseLong(matcher.group(2));
        long total = Long.parseLong(matcher.group(3));
        return first == received
                && last == total - 1
                && (length < 0 || length == total)
                && partLength == total - received;
    }

    private static @Nullable String value(List<Map.Entry<String, String>> headers, String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }
}
