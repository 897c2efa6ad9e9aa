package org.auburnhoist.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.WireRules;
import org.auburnhoist.store.Entry;
import org.jspecify.annotations.Nullable;

/** Adapter to the names and encodings of a platform. */
public interface PlatformBinding {
    /** Headers and statuses exchanged with callers and servers. */
    WireRules wireRules();

    /** Extracts the metadata of a request from its head. */
    RequestMetadata requestMetadata(RequestHead head);

    /** Store key of the operators' configuration. */
    String configurationKey();

    /** Prefix of the store keys under which servers register. */
    String serversPrefix();

    /**
     * Decodes the operators' configuration.
     *
     * @throws IOException if the bytes are not a valid configuration
     */
    TrafficConfiguration decodeConfiguration(byte[] stored) throws IOException;

    /**
     * Decodes a server's registration.
     *
     * @throws IOException if the entry names no server to use
     */
    UpstreamServer decodeServer(Entry registration) throws IOException;

    /** Whether a request asks for the addresses of hosts. */
    boolean isAddressQuery(RequestHead head);

    /** The data centre of the caller that asks for addresses, empty if not specified. */
    String callerDataCentre(RequestHead head);

    /**
     * The response to a request for addresses.
     *
     * @param addresses addresses to which callers may connect, best first
     * @param validity how long callers may cache the response
     */
    RecordedResponse addressResponse(List<String> addresses, Duration validity);

    /** Whether a request is a readiness check of this host. */
    boolean isReadinessQuery(RequestHead head);

    /**
     * Metadata of a request, taken from its head.
     *
     * @param hostName the host name that selects the routes
     * @param key the caller's key, null if absent
     * @param ambiguous whether a header that affects the handling of the request is repeated
     * @param attemptId the caller's ID of the attempt, empty if absent
     * @param remainingMillis how long the caller will wait, negative if not specified
     */
    record RequestMetadata(
            String hostName, @Nullable String key, boolean ambiguous, String attemptId, long remainingMillis) {}
}
