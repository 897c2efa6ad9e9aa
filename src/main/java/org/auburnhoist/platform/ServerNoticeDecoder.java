package org.auburnhoist.platform;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the response headers in which a server limits further requests.
 *
 * <p>A malformed header is logged and ignored, so that it affects no other request.
 */
final class ServerNoticeDecoder {
    /** Sent by a server that is shutting down. */
    static final String LEAVING = "Server-Leaving";
    /** Sent by a server that rejects a request: seconds during which it wants no requests from this host. */
    static final String RETRY_AFTER = "Retry-After";
    /** Sent by a server in need: requests a second that it accepts from all hosts together, while it is sent. */
    static final String LIMIT = "Server-Limit";

    /** Names of all notices, in lower case. */
    static final Set<String> HEADERS = Stream.of(LEAVING, RETRY_AFTER, LIMIT)
            .map(name -> name.toLowerCase(Locale.ROOT))
            .collect(Collectors.toUnmodifiableSet());

    private static final String LEAVING_VALUE = "1";
    private static final int SERVICE_UNAVAILABLE = 503;
    /** A longer pause is considered an error. */
    private static final double MAX_PAUSE_SECONDS = 24 * 3600;
    /** A higher limit is considered an error. */
    private static final double MAX_LIMIT_PER_SECOND = 1_000_000;
    /** {@link Double#parseDouble} alone would also accept exponents, NaN, infinity and hexadecimal numbers. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,20})?");

    private ServerNoticeDecoder() {}

    static ServerNotice decode(int status, List<Map.Entry<String, String>> headers) {
        boolean leaving = isLeaving(headers);
        long pauseMillis = status == SERVICE_UNAVAILABLE ? pauseMillis(headers) : 0;
        return leaving || pauseMillis > 0 ? new ServerNotice(leaving, pauseMillis) : ServerNotice.NONE;
    }

    /**
     * Decodes the limit that an answer names.
     *
     * @return {@link StatedLimit#UNLIMITED} without a limit, {@link StatedLimit#UNKNOWN} if the limit is malformed
     */
    static StatedLimit decodeLimit(List<Map.Entry<String, String>> headers) {
        if (headers.stream().noneMatch(header -> header.getKey().equalsIgnoreCase(LIMIT))) {
            return StatedLimit.UNLIMITED;
        }
        String value = uniqueValue(headers, LIMIT);
        if (value == null) {
            return StatedLimit.UNKNOWN;
        }
        double perSecond = parseDecimal(value);
        if (!(perSecond > 0 && perSecond <= MAX_LIMIT_PER_SECOND)) {
            logMalformed(LIMIT, value, "requests a second, a decimal number above 0 and up to a million");
            return StatedLimit.UNKNOWN;
        }
        return StatedLimit.of(perSecond);
    }

    private static boolean isLeaving(List<Map.Entry<String, String>> headers) {
        String value = uniqueValue(headers, LEAVING);
        if (value == null) {
            return false;
        }
        if (!value.equals(LEAVING_VALUE)) {
            logMalformed(LEAVING, value, "1");
        }
        return value.equals(LEAVING_VALUE);
    }

    private static long pauseMillis(List<Map.Entry<String, String>> headers) {
        String value = uniqueValue(headers, RETRY_AFTER);
        if (value == null) {
            return 0;
        }
        double seconds = parseDecimal(value);
        if (!(seconds >= 0 && seconds <= MAX_PAUSE_SECONDS)) {
            logMalformed(RETRY_AFTER, value, "seconds from 0 to a day");
            return 0;
        }
        return (long) Math.ceil(seconds * 1_000);
    }

    /** Parses a plain decimal number, or returns NaN. */
    private static double parseDecimal(String value) {
        return DECIMAL.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
    }

    /** The value of all headers with a name, or null if there are none or they differ. */
    private static @Nullable String uniqueValue(List<Map.Entry<String, String>> headers, String name) {
        String unique = null;
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                String value = header.getValue().strip();
                if (unique != null && !unique.equals(value)) {
                    logMalformed(name, unique + ", " + value, "one value");
                    return null;
                }
                unique = value;
            }
        }
        return unique;
    }

    private static void logMalformed(String name, String value, String expected) {
        Event.named("server-notice-not-understood")
                .with("header", name)
                .with("value", value.substring(0, Math.min(value.length(), 40)))
                .with("expected", expected)
                .warn();
    }
}
