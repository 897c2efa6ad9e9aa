package org.auburnhoist.core.configuration;

import java.util.regex.Pattern;

/** Validates addresses of the forms {@code IPv4:port} and {@code [IPv6]:port} without resolving names. */
public final class NetworkAddress {
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IPV4 = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);
    private static final Pattern GROUP = Pattern.compile("[0-9a-f]{1,4}");
    private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");
    private static final int IPV6_GROUPS = 8;
    private static final int MAX_PORT = 65_535;

    private NetworkAddress() {}

    /** Whether a text is an IP address and a port. */
    public static boolean isValid(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !isPort(text.substring(colon + 1))) {
            return false;
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            return isIpv6(host.substring(1, host.length() - 1));
        }
        return IPV4.matcher(host).matches();
    }

    private static boolean isPort(String text) {
        return PORT.matcher(text).matches() && Integer.parseInt(text) <= MAX_PORT;
    }

    private static boolean isIpv6(String text) {
        int gap = text.indexOf("::");
        if (gap < 0) {
            return countGroups(text) == IPV6_GROUPS;
        }
        String before = text.substring(0, gap);
        String after = text.substring(gap + 2);
        int left = before.isEmpty() ? 0 : countGroups(before);
        int right = after.isEmpty() ? 0 : countGroups(after);
        return left >= 0 && right >= 0 && left + right < IPV6_GROUPS;
    }

    /** Returns the number of 16-bit groups, or -1 if the text is not a list of groups. */
    private static int countGroups(String text) {
        String[] groups = text.split(":", -1);
        for (String group : groups) {
            if (!GROUP.matcher(group).matches()) {
                return -1;
            }
        }
        return groups.length;
    }
}
