package org.auburnhoist.core.message;

import org.auburnhoist.core.StorePosition;

/**
 * Answer of a service's dispatcher to a {@link SlotRequest}.
 *
 * @param verdict decision of the dispatcher
 * @param server name of the granted server, empty without a grant
 * @param address the server's IP address and port, empty if the requesting host knows it from the configuration
 * @param grantId identifies the grant in the later {@link SlotRelease}, 0 without a grant
 * @param retryAfterMillis time after which the caller should retry, if refused
 * @param serversPosition the store's position at which the dispatcher last knew the registered servers,
 *     {@link StorePosition#NONE} if it does not know them from the store
 */
public record SlotAnswer(
        SlotVerdict verdict,
        String server,
        String address,
        long grantId,
        long retryAfterMillis,
        StorePosition serversPosition)
        implements Message {
    /** Creates an answer of a dispatcher that does not know the servers from the store. */
    public SlotAnswer(SlotVerdict verdict, String server, String address, long grantId, long retryAfterMillis) {
        this(verdict, server, address, grantId, retryAfterMillis, StorePosition.NONE);
    }

    /** Creates an answer without the server's address. */
    public SlotAnswer(SlotVerdict verdict, String server, long grantId, long retryAfterMillis) {
        this(verdict, server, "", grantId, retryAfterMillis);
    }

    /** Returns this answer with the position at which the dispatcher last knew the registered servers. */
    public SlotAnswer withServersPosition(StorePosition position) {
        return new SlotAnswer(verdict, server, address, grantId, retryAfterMillis, position);
    }
}
