package org.auburnhoist.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving hosts. It may be out of date, so it is only a hint. */
public interface HostList extends AutoCloseable {
    /** Reads the list; never completes exceptionally. */
    CompletableFuture<HostListResult> read();

    @Override
    void close();

    /** State of a listed host. */
    enum HostState {
        /** The host is running. */
        LIVE,
        /** The host is about to be stopped or replaced. */
        LEAVING
    }

    /**
     * A listed host.
     *
     * @param name the host's name
     * @param dataCentre the host's data centre
     * @param state whether the host is live or about to be stopped or replaced
     */
    record ListedHost(String name, String dataCentre, HostState state) {}

    /** Result of reading the list. */
    sealed interface HostListResult {
        /** The list, which may be empty. */
        record Listed(List<ListedHost> hosts) implements HostListResult {
            /** Copies the list. */
            public Listed {
                hosts = List.copyOf(hosts);
            }
        }

        /**
         * No list could be read; nothing is known about any host.
         *
         * @param reason for logs and messages
         */
        record Unavailable(String reason) implements HostListResult {}
    }
}
