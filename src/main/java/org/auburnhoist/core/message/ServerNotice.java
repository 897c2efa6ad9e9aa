package org.auburnhoist.core.message;

/**
 * Flow control information in a server's answer, which applies to further requests from the host that receives it.
 *
 * @param leaving whether the server is being stopped and accepts no new requests
 * @param pauseMillis how long the server accepts no requests from that host, 0 if not stated
 */
public record ServerNotice(boolean leaving, long pauseMillis) {
    /** An answer without flow control information. */
    public static final ServerNotice NONE = new ServerNotice(false, 0);

    /** Whether this notice restricts further requests. */
    public boolean isPresent() {
        return leaving || pauseMillis > 0;
    }
}
