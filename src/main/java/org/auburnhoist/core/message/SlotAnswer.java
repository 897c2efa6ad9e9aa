package org.auburnhoist.core.message;

/**
 * Answer of a service's dispatcher.
 *
 * @param verdict what was decided
 * @param server name of the granted server, empty without a grant
 * @param address the server's IP address and port, empty if the asking host knows it from the configuration
 * @param grantId names the grant in the later release, 0 without a grant
 * @param retryAfterMillis when the caller should come back, if refused
 */
public record SlotAnswer(SlotVerdict verdict, String server, String address, long grantId, long retryAfterMillis)
        implements Message {
    /** An answer without the server's address. */
    public SlotAnswer(SlotVerdict verdict, String server, long grantId, long retryAfterMillis) {
        this(verdict, server, "", grantId, retryAfterMillis);
    }
}
