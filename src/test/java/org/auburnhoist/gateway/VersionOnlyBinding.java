package org.auburnhoist.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.WireRules;
import org.auburnhoist.store.Entry;

/** Decodes a configuration that consists only of its version, and no servers. */
class VersionOnlyBinding implements PlatformBinding {
    @Override
    public WireRules wireRules() {
        throw new UnsupportedOperationException("no request is made");
    }

    @Override
    public RequestMetadata requestMetadata(RequestHead head) {
        return new RequestMetadata("", null, false, "", -1);
    }

    @Override
    public String configurationKey() {
        return "configuration";
    }

    @Override
    public String serversPrefix() {
        return "servers/";
    }

    @Override
    public TrafficConfiguration decodeConfiguration(byte[] stored) {
        long version = Long.parseLong(new String(stored, StandardCharsets.UTF_8));
        return new TrafficConfiguration(version, List.of(), Set.of(), Map.of(), Map.of());
    }

    @Override
    public UpstreamServer decodeServer(Entry registration) throws IOException {
        throw new IOException("registration: this binding knows none");
    }

    @Override
    public boolean isAddressQuery(RequestHead head) {
        return false;
    }

    @Override
    public String callerDataCentre(RequestHead head) {
        return "";
    }

    @Override
    public RecordedResponse addressResponse(List<String> addresses, Duration validity) {
        return new RecordedResponse(200, List.of(), new byte[0], true);
    }

    @Override
    public boolean isReadinessQuery(RequestHead head) {
        return false;
    }
}
