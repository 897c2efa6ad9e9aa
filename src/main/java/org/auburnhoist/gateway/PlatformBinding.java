package org.auburnhoist.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.auburnhoist.core.message.RecordedAnswer;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.WireRules;
import org.auburnhoist.store.Entry;
import org.jspecify.annotations.Nullable;

/** How a platform names and encodes what the product decides about. */
public interface PlatformBinding {
    /** Headers and statuses of callers and servers. */
    WireRules wireRules();

    /** What a request says about its caller. */
    RequestMetadata requestMetadata(RequestHead head);

    /** Key of the store under which the operators' configuration stands. */
    String configurationKey();

    /** Prefix of the store's keys under which servers register. */
    String serversPrefix();

    /**
     * Reads the operators' configuration.
     *
     * @throws IOException if the bytes are no configuration
     */
    TrafficConfiguration decodeConfiguration(byte[] stored) throws IOException;

    /** Reads a server's registration, or returns null if it names no server to use. */
    @Nullable
    UpstreamServer decodeServer(Entry registration);

    /** Whether a request asks for the addresses of hosts. */
    boolean isAddressQuery(RequestHead head);

    /** The data centre of the caller that asks for addresses, empty if it does not say. */
    String callerDataCentre(RequestHead head);

    /**
     * The answer to a request for addresses.
     *
     * @param addresses where callers may connect, best first
     * @param validity how long callers may keep the answer
     */
    RecordedAnswer addressResponse(List<String> addresses, Duration validity);

    /** Whether a request asks if this host takes callers. */
    boolean isReadinessQuery(RequestHead head);

    /**
     * What a request says about its caller.
     *
     * @param hostName the host name that selects the routes
     * @param key the caller's key, null without one
     * @param ambiguous whether a header that decides something came more than once
     * @param attemptId the caller's id of the attempt, empty without one
     * @param remainingMillis how long the caller will wait, negative if it does not say
     */
    record RequestMetadata(
            String hostName, @Nullable String key, boolean ambiguous, String attemptId, long remainingMillis) {}
}
