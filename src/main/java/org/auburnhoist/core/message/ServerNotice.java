package org.auburnhoist.core.message;

/**
 * Flow control information in a server's answer about further requests.
 *
 * @param leaving whether the server is being stopped and accepts no new requests from the host that gets the answer
 * @param pauseMillis how long the server accepts no requests from that host, 0 if not stated
 * @param limit rate of requests that the server accepts from all hosts together
 */
public record ServerNotice(boolean leaving, long pauseMillis, StatedLimit limit) {
    /** An answer without flow control information. */
    public static final ServerNotice NONE = new ServerNotice(false, 0);

    /** Creates a notice that says nothing about a limit. */
    public ServerNotice(boolean leaving, long pauseMillis) {
        this(leaving, pauseMillis, StatedLimit.UNKNOWN);
    }

    /** Whether this notice says anything about further requests. */
    public boolean isPresent() {
        return leaving || pauseMillis > 0 || limit.kind() != StatedLimit.Kind.UNKNOWN;
    }
}
