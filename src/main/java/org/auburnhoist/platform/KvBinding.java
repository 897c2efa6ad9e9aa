package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.gateway.PlatformBinding;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.WireRules;
import org.auburnhoist.store.Entry;

/** Binding to the platform's paths, headers, store keys and document formats. */
final class KvBinding implements PlatformBinding {
    private static final String CONFIGURATION_KEY = "op/config";
    private static final String SERVERS_PREFIX = "servers/";
    private static final String RESOLVE_PATH = "/api/resolve";
    private static final String READINESS_PATH = "/api/readiness";
    private static final String AUTHORIZATION = "Authorization";
    private static final String KEY_SCHEME = "Token ";

    private final WireRules wireRules = new PlatformWireRules();

    @Override
    public WireRules wireRules() {
        return wireRules;
    }

    @Override
    public RequestMetadata requestMetadata(RequestHead head) {
        String host = head.header("Host");
        String authorization = head.header(AUTHORIZATION);
        String key = authorization != null && authorization.regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length())
                ? authorization.substring(KEY_SCHEME.length()).strip()
                : null;
        String attempt = head.header(PlatformWireRules.ATTEMPT_ID);
        boolean ambiguous = head.isRepeated(AUTHORIZATION)
                || head.isRepeated(PlatformWireRules.ATTEMPT_ID)
                || head.isRepeated(PlatformWireRules.DEADLINE);
        return new RequestMetadata(
                host == null ? "" : host, key, ambiguous, attempt == null ? "" : attempt, remainingMillis(head));
    }

    private static long remainingMillis(RequestHead head) {
        String text = head.header(PlatformWireRules.DEADLINE);
        if (text == null) {
            return -1;
        }
        try {
            return Math.max(0, (long) Double.parseDouble(text));
        } catch (NumberFormatException malformed) {
            return -1;
        }
    }

    @Override
    public String configurationKey() {
        return CONFIGURATION_KEY;
    }

    @Override
    public String serversPrefix() {
        return SERVERS_PREFIX;
    }

    @Override
    public TrafficConfiguration decodeConfiguration(byte[] stored) throws IOException {
        return ConfigurationDecoder.decode(stored);
    }

    @Override
    public UpstreamServer decodeServer(Entry registration) throws IOException {
        return RegistrationDecoder.decode(SERVERS_PREFIX, registration);
    }

    @Override
    public boolean isAddressQuery(RequestHead head) {
        return head.path().equals(RESOLVE_PATH);
    }

    @Override
    public String callerDataCentre(RequestHead head) {
        String query = head.query();
        if (query == null) {
            return "";
        }
        for (String parameter : query.split("&", -1)) {
            if (parameter.startsWith("zone=")) {
                return URLDecoder.decode(parameter.substring("zone=".length()), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    @Override
    public RecordedResponse addressResponse(List<String> addresses, Duration validity) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("addresses");
        addresses.forEach(list::add);
        body.put("ttl_s", validity.toMillis() / 1000.0);
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        return new RecordedResponse(200, List.of(Map.entry("Content-Type", "application/json")), bytes, true);
    }

    @Override
    public boolean isReadinessQuery(RequestHead head) {
        return head.path().equals(READINESS_PATH);
    }
}
