package org.auburnhoist.core.message;

/**
 * What a server says in an answer about further requests of the host that gets it.
 *
 * @param leaving whether it is being stopped and wants no new requests
 * @param pauseMillis for how long it wants no requests from that host, 0 if it does not say
 */
public record ServerNotice(boolean leaving, long pauseMillis) {
    /** Says nothing. */
    public static final ServerNotice NONE = new ServerNotice(false, 0);

    /** Whether it says anything. */
    public boolean isPresent() {
        return leaving || pauseMillis > 0;
    }
}
