package org.auburnhoist.core.message;

/**
 * Answer of a service's dispatcher to a {@link SlotRequest}.
 *
 * @param verdict decision of the dispatcher
 * @param server name of the granted server, empty without a grant
 * @param address the server's IP address and port, empty if the requesting host knows it from the configuration
 * @param grantId identifies the grant in the later {@link SlotRelease}, 0 without a grant
 * @param retryAfterMillis time after which the caller should retry, if refused
 */
public record SlotAnswer(SlotVerdict verdict, String server, String address, long grantId, long retryAfterMillis)
        implements Message {
    /** Creates an answer without the server's address. */
    public SlotAnswer(SlotVerdict verdict, String server, long grantId, long retryAfterMillis) {
        this(verdict, server, "", grantId, retryAfterMillis);
    }
}
