package org.auburnhoist.platform;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Reads what a server says about further requests from the headers of its answer.
 *
 * <p>A header that is not understood says nothing: it is logged and passed over, so that it affects no other request.
 */
final class ServerNoticeDecoder {
    /** Said by a server that is being stopped. */
    static final String LEAVING = "Server-Leaving";
    /** Said by a server that turns a request away: seconds for which it wants none from this host. */
    static final String RETRY_AFTER = "Retry-After";

    private static final String IS_LEAVING = "1";
    private static final int TURNED_AWAY = 503;
    /** A longer pause is taken for a mistake. */
    private static final double LONGEST_PAUSE_SECONDS = 24 * 3600;

    private ServerNoticeDecoder() {}

    static ServerNotice decode(int status, List<Map.Entry<String, String>> headers) {
        boolean leaving = isLeaving(headers);
        long pauseMillis = status == TURNED_AWAY ? pauseMillis(headers) : 0;
        return leaving || pauseMillis > 0 ? new ServerNotice(leaving, pauseMillis) : ServerNotice.NONE;
    }

    private static boolean isLeaving(List<Map.Entry<String, String>> headers) {
        String value = onlyValue(headers, LEAVING);
        if (value == null) {
            return false;
        }
        if (!value.equals(IS_LEAVING)) {
            notUnderstood(LEAVING, value, "1");
        }
        return value.equals(IS_LEAVING);
    }

    private static long pauseMillis(List<Map.Entry<String, String>> headers) {
        String value = onlyValue(headers, RETRY_AFTER);
        if (value == null) {
            return 0;
        }
        double seconds = seconds(value);
        if (!(seconds >= 0 && seconds <= LONGEST_PAUSE_SECONDS)) {
            notUnderstood(RETRY_AFTER, value, "seconds from 0 to a day");
            return 0;
        }
        return (long) Math.ceil(seconds * 1_000);
    }

    private static double seconds(String value) {
        // Double.parseDouble alone would also take names and hexadecimal numbers.
        return value.matches("[0-9]{1,9}(\\.[0-9]{1,9})?") ? Double.parseDouble(value) : Double.NaN;
    }

    /** The value that all headers of a name agree on, or null without any. */
    private static @Nullable String onlyValue(List<Map.Entry<String, String>> headers, String name) {
        String only = null;
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                String value = header.getValue().strip();
                if (only != null && !only.equals(value)) {
                    notUnderstood(name, only + ", " + value, "one value");
                    return null;
                }
                only = value;
            }
        }
        return only;
    }

    private static void notUnderstood(String name, String value, String expected) {
        Event.named("server-notice-not-understood")
                .with("header", name)
                .with("value", value.substring(0, Math.min(value.length(), 40)))
                .with("expected", expected)
                .warn();
    }
}
