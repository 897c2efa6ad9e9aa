package org.auburnhoist.proxy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.hc.core5.http.Header;

/** Selects the headers that the proxy forwards, and the headers that it adds. */
public final class HeaderRules {
    static final String REQUEST_ID = "Auburnhoist-Request-Id";
    static final String DEADLINE = "Auburnhoist-Deadline-Millis";

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length");

    private static final Set<String> FRAMING = Set.of("content-length", "transfer-encoding");

    /** Authorization holds the caller's key, which no upstream may see. */
    private static final Set<String> NOT_FORWARDED =
            Set.of("authorization", "host", "expect", "via", "x-forwarded-for");

    private HeaderRules() {}

    /** Returns the request headers for an upstream server, without framing headers. */
    static List<Map.Entry<String, String>> upstreamRequestHeaders(
            RequestHead head, String serverAddress, String hostName) {
        List<Map.Entry<String, String>> result = new ArrayList<>();
        result.add(Map.entry("Host", serverAddress));
        for (Map.Entry<String, String> header : endToEnd(head.headers())) {
            if (!NOT_FORWARDED.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                result.add(header);
            }
        }
        result.add(Map.entry("Via", appendValue(head.headers(), "via", "1.1 " + hostName)));
        result.add(Map.entry("X-Forwarded-For", appendValue(head.headers(), "x-forwarded-for", head.remoteAddress())));
        return result;
    }

    /** Returns the headers without hop-by-hop and framing headers and without the fleet's own headers. */
    public static List<Map.Entry<String, String>> endToEnd(List<Map.Entry<String, String>> headers) {
        Set<String> dropped = HOP_BY_HOP;
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase("connection")) {
                dropped = withTokens(dropped, header.getValue());
            }
        }
        List<Map.Entry<String, String>> result = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!dropped.contains(name) && !name.startsWith("auburnhoist-")) {
                result.add(header);
            }
        }
        return result;
    }

    /** Returns the headers without those that frame the body. */
    static List<Map.Entry<String, String>> withoutFraming(List<Map.Entry<String, String>> headers) {
        return headers.stream()
                .filter(header -> !FRAMING.contains(header.getKey().toLowerCase(Locale.ROOT)))
                .toList();
    }

    private static Set<String> withTokens(Set<String> names, String tokens) {
        Set<String> result = new HashSet<>(names);
        for (String token : tokens.split(",", -1)) {
            result.add(token.strip().toLowerCase(Locale.ROOT));
        }
        return result;
    }

    static List<Map.Entry<String, String>> toEntries(Header... headers) {
        List<Map.Entry<String, String>> result = new ArrayList<>(headers.length);
        for (Header header : headers) {
            result.add(Map.entry(header.getName(), header.getValue()));
        }
        return result;
    }

    /** Returns the keep-alive timeout that a server announces, in seconds, or -1 if it announces none. */
    static int keepAliveSeconds(List<Map.Entry<String, String>> headers) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase("Keep-Alive")) {
                for (String part : header.getValue().split(",", -1)) {
                    String text = part.strip();
                    if (text.regionMatches(true, 0, "timeout=", 0, 8)
                            && text.substring(8).matches("[0-9]{1,6}")) {
                        return Integer.parseInt(text.substring(8));
                    }
                }
            }
        }
        return -1;
    }

    /** Whether a comma-separated header contains a token. */
    static boolean hasToken(List<Map.Entry<String, String>> headers, String name, String token) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                for (String part : header.getValue().split(",", -1)) {
                    if (part.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    private static String appendValue(List<Map.Entry<String, String>> headers, String name, String value) {
        StringBuilder result = new StringBuilder();
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                result.append(header.getValue()).append(", ");
            }
        }
        return result.append(value).toString();
    }
}
