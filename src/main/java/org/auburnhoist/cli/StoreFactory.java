package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import org.auburnhoist.store.Store;

/** Opens the platform's store. */
public interface StoreFactory {
    /**
     * Opens a client.
     *
     * @param addresses the store's servers
     * @return the client, which the caller closes, or the reason why it could not be opened
     */
    Either<String, Store> open(List<InetSocketAddress> addresses);
}
